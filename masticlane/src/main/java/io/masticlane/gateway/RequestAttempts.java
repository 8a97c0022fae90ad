package io.masticlane.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.masticlane.client.ClientCall;
import io.masticlane.client.ConnectionUse;
import io.masticlane.client.ResponseListener;
import io.masticlane.placement.PlacementChoice;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.OrganisationPlan;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * The attempts of one request at backend servers: each is placed and admitted, sent, and
 * retried elsewhere if the request is idempotent or was not run.
 */
final class RequestAttempts {

	private static final int SERVER_ERROR_STATUS = 500;

	/**
	 * The number of servers that a request may try to connect to, even if its route
	 * allows fewer.
	 */
	private static final int MAXIMUM_CONNECT_ATTEMPTS = 3;

	/**
	 * The maximum idle time of a reused connection for a request that is not idempotent,
	 * in milliseconds; a server that drops idle connections silently would lose the
	 * request.
	 */
	private static final long NON_IDEMPOTENT_MAXIMUM_IDLE_MILLIS = 1_500;

	/**
	 * The maximum idle time of a reused connection for an idempotent request, in
	 * milliseconds.
	 */
	private static final long IDEMPOTENT_MAXIMUM_IDLE_MILLIS = 5_000;

	/**
	 * How long the gateway keeps the connection of a request that is not idempotent after
	 * the request's time is over, in milliseconds. By then a server that received the
	 * request has ended it by itself.
	 */
	private static final long ABANDONED_ATTEMPT_MARGIN_MILLIS = 300;

	/**
	 * The statuses that promise a caller that its request did not run.
	 */
	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	private final GatewayContext gateway;

	private final AdmittedRequest request;

	private final RequestClock clock;

	private final RequestEvents events;

	private final AttemptOutcome outcome;

	private final AttemptPlacer placer;

	private final Set<String> triedServers = new HashSet<>();

	private final Set<String> sentToServers = new HashSet<>();

	private PlacementChoice choice;

	private ClientCall call;

	private long sentAt;

	private int attempts;

	private boolean mayHaveRun;

	private boolean open;

	/**
	 * Creates the attempts of a request, not yet started.
	 * @param gateway the state that all requests share
	 * @param request the request
	 * @param clock the time left for the request
	 * @param events the events of the request
	 * @param outcome receives exactly one result, unless the request ends before
	 */
	RequestAttempts(GatewayContext gateway, AdmittedRequest request, RequestClock clock, RequestEvents events,
			AttemptOutcome outcome) {
		this.gateway = gateway;
		this.request = request;
		this.clock = clock;
		this.events = events;
		this.outcome = outcome;
		this.placer = new AttemptPlacer(gateway);
	}

	/**
	 * Returns whether any part of the request may have reached a server.
	 * @return whether the request may have run
	 */
	boolean isWritten() {
		return this.mayHaveRun || isOpenAndWritten();
	}

	/**
	 * Returns whether the open attempt may have reached its server.
	 * @return whether a server may be running the request
	 */
	boolean isOpenAndWritten() {
		return this.open && this.call.isWritten();
	}

	/**
	 * Returns the number of servers that were tried.
	 * @return the number of servers
	 */
	int serverCount() {
		return this.triedServers.size();
	}

	/**
	 * Returns how the last attempt uses its connection.
	 * @return the use
	 */
	ConnectionUse connectionUse() {
		return (this.call != null) ? this.call.use() : ConnectionUse.NONE;
	}

	/**
	 * Returns the server of the last attempt.
	 * @return the identifier of the server, or empty if none was chosen
	 */
	Optional<String> lastServer() {
		return Optional.ofNullable(this.choice).map((chosen) -> chosen.server().entry().id());
	}

	/**
	 * Ends the open attempt, if there is one, and resets its connection.
	 */
	void cancel() {
		if (this.open) {
			end();
			this.call.cancel();
		}
	}

	/**
	 * Leaves a request that is not idempotent to its server, whose connection is reset
	 * after a while. A request that has not reached its server by then would run long
	 * after its caller gave it up.
	 */
	void abandon() {
		this.gateway.loop()
			.schedule(this::cancel, Math.max(0, this.clock.remainingMillis()) + ABANDONED_ATTEMPT_MARGIN_MILLIS,
					TimeUnit.MILLISECONDS);
	}

	/**
	 * Handles the end of the time for the request.
	 */
	void timeOut() {
		if (!this.open) {
			return;
		}
		ServerState unresponsive = this.choice.server();
		this.choice.recordTimeout(this.sentAt, System.nanoTime());
		this.gateway.connections().closeIdle(unresponsive.entry().address());
		if (this.request.route().idempotent() || !this.call.isWritten()) {
			cancel();
		}
		else {
			this.gateway.loop().schedule(this::cancel, ABANDONED_ATTEMPT_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Places the request and sends it, or refuses it.
	 */
	void attempt() {
		long now = System.nanoTime();
		this.placer.place(this.request, this.clock, this.triedServers, now, this::abort)
			.ifPresent((chosen) -> send(chosen, now));
	}

	private void send(PlacementChoice chosen, long now) {
		this.choice = chosen;
		ServerState server = chosen.server();
		FullHttpRequest forwarded = ForwardedRequest.of(this.request.message(), this.request.path(),
				this.gateway.dialect(),
				new Dialect.Forwarding(server.entry().id(), Math.max(1, this.clock.remainingMillis()),
						this.request.organisation().map(OrganisationPlan::name)));
		this.triedServers.add(server.entry().id());
		this.attempts++;
		server.recordRequestSent(now);
		this.gateway.requestSent(server, now);
		this.gateway.regionFlow().recordSent(chosen);
		this.gateway.metrics().regionChosen(this.request.service(), chosen);
		this.sentAt = now;
		this.open = true;
		this.call = this.gateway.connections()
			.call(server.entry().address(), forwarded,
					Optional.of(this.request.headers().id()).filter((id) -> this.request.isIdentified()),
					this.request.route().idempotent() ? IDEMPOTENT_MAXIMUM_IDLE_MILLIS
							: NON_IDEMPOTENT_MAXIMUM_IDLE_MILLIS,
					this.request.download().reservation(), new Attempt(server));
		if (this.call.use().repeated()) {
			this.gateway.metrics().identifierRepeated();
		}
	}

	private void handleUntrustedResponse(ServerState server, FullHttpResponse response) {
		end();
		this.sentToServers.add(server.entry().id());
		this.mayHaveRun = true;
		server.recordFailure(System.nanoTime());
		this.events.attemptFailed(server, this.triedServers.size(), "untrusted", connectionUse(),
				response.status().toString());
		retryOrFail("untrusted_answer");
	}

	private void handleResponse(ServerState server, FullHttpResponse response, Dialect.ServerResponse parsed) {
		long now = System.nanoTime();
		boolean atCapacity = server.load(now) >= server.entry().slots();
		end();
		server.recordReport(parsed.load(), now);
		this.gateway.metrics().loadReported(server, parsed.load());
		this.gateway.announcements().record(server, parsed, this.request.headers().id(), now);
		if (parsed.notRun()) {
			boolean misdirected = response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
			boolean unidentified = !this.request.isIdentified()
					&& response.status().equals(HttpResponseStatus.BAD_REQUEST);
			if (misdirected) {
				server.recordLost(now);
				this.events.ejected(server, "another server has its address");
			}
			else if (!atCapacity && !unidentified) {
				server.recordResponse(this.request.placement().object(), false, this.sentAt, now);
			}
			this.events.attemptFailed(server, this.triedServers.size(), "not_run", connectionUse(),
					response.status().toString());
			this.gateway.metrics().attemptFinished("not_run");
			if (!this.outcome.isFinished() && unidentified) {
				deliver(server, response, false);
			}
			else if (!this.outcome.isFinished()) {
				retryElsewhere("shed", misdirected || this.gateway.retryAllowance(this.request.service()).tryAcquire());
			}
			return;
		}
		this.sentToServers.add(server.entry().id());
		this.mayHaveRun = true;
		boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		server.recordResponse(this.request.placement().object(),
				success || response.status().code() < SERVER_ERROR_STATUS, this.sentAt, now);
		if (success) {
			double millis = server.machineSpeed()
				.atUsualSpeed((now - this.sentAt) / (double) TimeUnit.MILLISECONDS.toNanos(1), parsed.load());
			this.choice.recordResponseTime(millis, now);
			if (this.choice.slotFree()) {
				this.gateway.placement().serviceTimes(this.request.route()).recordSample(millis, this.choice.warm());
			}
		}
		this.gateway.metrics().attemptFinished(success ? "served" : "failed");
		if (this.outcome.isFinished()) {
			return;
		}
		if (response.status().code() >= SERVER_ERROR_STATUS && this.request.route().idempotent() && canRetry()) {
			this.events.attemptFailed(server, this.triedServers.size(), "server_error", connectionUse(),
					response.status().toString());
			attempt();
			return;
		}
		deliver(server, response, success);
	}

	private void deliver(ServerState server, FullHttpResponse response, boolean success) {
		if (NOT_RUN_STATUSES.contains(response.status().code())) {
			this.outcome.fail("server_status", HttpResponseStatus.BAD_GATEWAY);
			return;
		}
		if (success) {
			if (this.gateway.sampleServed() || connectionUse().repeated()) {
				this.events.served(response.status().code(), this.triedServers.size(), this.choice, connectionUse());
			}
		}
		else {
			this.events.failed("server", response.status().code(), server.entry().id(), this.triedServers.size(),
					connectionUse());
		}
		this.outcome.respond(response, success ? "served" : "server_error");
	}

	private void handleCallFailure(ServerState server, ResponseListener.Failure failure, String detail) {
		long now = System.nanoTime();
		end();
		this.gateway.metrics().attemptFinished(failure.name());
		this.events.attemptFailed(server, this.triedServers.size(), failure.name(), connectionUse(), detail);
		if (failure == ResponseListener.Failure.NOT_SENT) {
			server.recordUnreachable(now);
			this.events.ejected(server, detail);
			this.gateway.connections().closeIdle(server.entry().address());
			if (!this.outcome.isFinished()) {
				retryElsewhere("unreachable", this.attempts < MAXIMUM_CONNECT_ATTEMPTS);
			}
			return;
		}
		server.recordFailure(now);
		this.sentToServers.add(server.entry().id());
		this.mayHaveRun = true;
		retryOrFail(failure.name());
	}

	private void retryOrFail(String reason) {
		if (this.outcome.isFinished()) {
			return;
		}
		if (this.request.route().idempotent() && canRetry()) {
			attempt();
			return;
		}
		this.outcome.fail(reason, HttpResponseStatus.BAD_GATEWAY);
	}

	private boolean canRetry() {
		return this.sentToServers.size() < this.request.route().maximumServers() && this.clock
			.remainingMillis() > this.gateway.placement().serviceTimes(this.request.route()).expectedMillis(true)
				&& this.gateway.retryAllowance(this.request.service()).tryAcquire();
	}

	private void retryElsewhere(String reason, boolean allowed) {
		if (allowed && this.triedServers.size() < Math.max(this.request.route().maximumServers(),
				MAXIMUM_CONNECT_ATTEMPTS)) {
			attempt();
		}
		else {
			abort(Refusal.of(reason));
		}
	}

	private void abort(Refusal refusal) {
		if (this.mayHaveRun) {
			this.outcome.fail(refusal.reason(), HttpResponseStatus.BAD_GATEWAY);
		}
		else {
			this.outcome.refuse(refusal);
		}
	}

	private void end() {
		if (this.open) {
			this.open = false;
			this.choice.server().recordRequestEnded();
		}
	}

	/**
	 * Receives the result of one attempt at a server.
	 */
	private final class Attempt implements ResponseListener {

		private final ServerState server;

		private Attempt(ServerState server) {
			this.server = server;
		}

		@Override
		public Disposition responseReceived(FullHttpResponse response) {
			Dialect.ServerResponse parsed = RequestAttempts.this.gateway.dialect().response(response);
			AdmittedRequest admitted = RequestAttempts.this.request;
			if (ResponseTrust.isForeign(admitted, parsed)) {
				RequestAttempts.this.events.attemptFailed(this.server, RequestAttempts.this.triedServers.size(),
						"foreign_answer", connectionUse(), parsed.id().get());
				return Disposition.UNRELATED;
			}
			if (!ResponseTrust.isTrusted(admitted, response, parsed,
					RequestAttempts.this.call.isOnReusedConnection())) {
				handleUntrustedResponse(this.server, response);
				return Disposition.DOUBTFUL;
			}
			handleResponse(this.server, response, parsed);
			// A copy of a response that names no request would fail the next one.
			return parsed.id().isPresent() ? Disposition.COMPLETE : Disposition.DOUBTFUL;
		}

		@Override
		public void callFailed(Failure failure, String detail) {
			handleCallFailure(this.server, failure, detail);
		}

	}

}
