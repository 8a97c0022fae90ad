package io.masticlane.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.masticlane.client.ClientCall;
import io.masticlane.client.ResponseListener;
import io.masticlane.placement.Placement;
import io.masticlane.placement.Rendezvous;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.Entitlement;
import io.masticlane.plan.OrganisationPlan;
import io.masticlane.plan.PathRoute;
import io.masticlane.plan.ServicePlan;
import io.masticlane.plan.TrafficPlan;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One attempt of a caller on its way: checked, sent to a backend server, sent again where
 * that cannot run it twice, and answered once.
 */
final class ProxiedRequest {

	private static final String NO_ROUTE = "-";

	private static final int UNPROCESSABLE = 500;

	/**
	 * The shortest time in which a backend server can do anything, in milliseconds.
	 */
	private static final long SHORTEST_ATTEMPT_MILLIS = 20;

	/**
	 * How long before the caller's own timeout an answer is given up, in milliseconds:
	 * the way back to the caller.
	 */
	private static final long WAY_BACK_MILLIS = 5;

	/**
	 * The servers that a request may try to connect to.
	 */
	private static final int CONNECT_TRIES = 3;

	/**
	 * How long a connection may have been idle for a request that runs once; a server
	 * that forgets idle connections would lose it.
	 */
	private static final long FRESH_IDLE_MILLIS = 1_500;

	private static final long REPEATABLE_IDLE_MILLIS = 5_000;

	/**
	 * How long a request that runs once may still end at its server after it was given
	 * up, in milliseconds.
	 */
	private static final long LAST_ANSWER_MILLIS = 5_000;

	/**
	 * When a caller returns after a refusal that no load explains, in milliseconds.
	 */
	private static final double SOON_MILLIS = 300;

	private final GatewayContext traffic;

	private final CallerHandler caller;

	private final FullHttpRequest request;

	private final long arrivedAt = System.nanoTime();

	private final Set<String> tried = new HashSet<>();

	private final Set<String> sentTo = new HashSet<>();

	private RequestEvents events;

	private TrafficPlan plan;

	private PathRoute route;

	private String path;

	private Dialect.CallerRequest described;

	private Optional<OrganisationPlan> organisation = Optional.empty();

	private Placement.Request wanted;

	private Placement.Choice choice;

	private ClientCall call;

	private ScheduledFuture<?> timer;

	private long sentAt;

	private int connectTries;

	private boolean mayHaveRun;

	private boolean tokenTaken;

	private boolean attemptOpen;

	private boolean finished;

	ProxiedRequest(GatewayContext traffic, CallerHandler caller, FullHttpRequest request) {
		this.traffic = traffic;
		this.caller = caller;
		this.request = request.retain();
	}

	void start() {
		this.traffic.requestStarted();
		this.plan = this.traffic.plan();
		this.described = this.traffic.dialect().request(this.request.headers());
		this.events = new RequestEvents(this.traffic.events(), this.described.id(), this.plan.version(),
				this.arrivedAt);
		if (this.plan.version() == TrafficPlan.NO_VERSION) {
			refuse("no_plan", HttpResponseStatus.SERVICE_UNAVAILABLE, 0, 0, SOON_MILLIS);
			return;
		}
		Optional<RequestTarget> target = RequestTarget.parse(this.request);
		if (target.isEmpty()) {
			reject("malformed", HttpResponseStatus.BAD_REQUEST);
			return;
		}
		this.path = target.get().target();
		this.route = this.plan.route(target.get().host(), target.get().path()).orElse(null);
		if (this.route == null) {
			reject("no_route", HttpResponseStatus.NOT_FOUND);
			return;
		}
		this.events.route(this.route.name());
		if (this.plan.requiresKeys()) {
			this.organisation = this.described.key().flatMap(this.plan::organisationByKey);
			if (this.organisation.isEmpty() && !this.route.open()) {
				reject("unknown_key", HttpResponseStatus.UNAUTHORIZED);
				return;
			}
		}
		admit();
	}

	void callerDisconnected() {
		if (this.finished) {
			return;
		}
		boolean cancelled = this.route == null || this.route.idempotent() || !this.attemptOpen
				|| !this.call.isWritten();
		this.events.abandoned(serverName(), cancelled);
		finish("abandoned");
		if (!cancelled) {
			this.traffic.loop().schedule(this::abandonAttempt, LAST_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
		}
		if (cancelled && this.attemptOpen) {
			endAttempt();
			this.call.cancel();
		}
	}

	private void admit() {
		if (this.organisation.isPresent()) {
			long wait = this.traffic.shares().acquire(this.organisation.get().name());
			if (wait > 0) {
				overRate(this.organisation.get(), Math.max(wait, SOON_MILLIS));
				return;
			}
			this.tokenTaken = true;
		}
		String service = this.traffic.splits().nextService(this.route);
		this.traffic.retries(service).countRequest();
		Set<String> homes = new Entitlement(this.route, this.organisation).allowedRegions();
		long draw = Rendezvous.hash(this.described.id());
		long object = this.route.sticky() ? this.described.object().map(Rendezvous::hash).orElse(draw) : draw;
		this.wanted = new Placement.Request(this.route, service, object, draw, homes, Set.of(),
				this.route.objectiveMillis(),
				this.plan.service(service).map(ServicePlan::coldRequestsPerSecond).orElse(0.0),
				this.traffic.gatewaysInRegion());
		this.timer = this.traffic.loop().schedule(this::timedOut, Math.max(1, left()), TimeUnit.MILLISECONDS);
		attempt();
	}

	private void attempt() {
		if (left() < SHORTEST_ATTEMPT_MILLIS) {
			giveUp("no_time_left", 0, 0, SOON_MILLIS);
			return;
		}
		long now = System.nanoTime();
		Optional<Placement.Choice> found = this.traffic.placement().choose(this.wanted.withExcluded(this.tried), now);
		if (found.isEmpty()) {
			giveUp("no_server", 0, 0, SOON_MILLIS);
			return;
		}
		Placement.Choice chosen = found.get();
		boolean crowded = this.traffic.placement().isCongested(this.wanted.service(), chosen.server().region());
		double latest = this.traffic.admission()
			.latestResponseMillis(this.route.objectiveMillis() - age(), left(),
					new Entitlement(this.route, this.organisation).priority(), crowded);
		double expected = crowded ? chosen.expectedWarmMillis() : chosen.expectedMillis();
		if (expected > latest && !chosen.slotFree()) {
			this.traffic.regionFlow().recordRefused(chosen.server().region());
			giveUp(crowded ? "crowded" : "load", expected, latest,
					this.traffic.admission().retryAfterMillis(expected - latest));
			return;
		}
		send(chosen, now);
	}

	private void send(Placement.Choice chosen, long now) {
		this.choice = chosen;
		ServerState server = chosen.server();
		FullHttpRequest forwarded = ForwardedRequest.of(this.request, this.path, this.traffic.dialect(),
				new Dialect.Forwarding(server.entry().id(), Math.max(1, left()),
						this.organisation.map(OrganisationPlan::name)));
		this.tried.add(server.entry().id());
		this.connectTries++;
		server.recordRequestSent(now);
		this.traffic.regionFlow().recordSent(chosen);
		this.traffic.metrics().sent(this.wanted.service(), chosen);
		this.sentAt = now;
		this.attemptOpen = true;
		this.call = this.traffic.connections()
			.call(server.entry().address(), forwarded,
					this.route.idempotent() ? REPEATABLE_IDLE_MILLIS : FRESH_IDLE_MILLIS, new Attempt(server));
	}

	private void answered(ServerState server, FullHttpResponse answer, Dialect.ServerResponse told) {
		long now = System.nanoTime();
		boolean full = server.load(now) >= server.entry().slots();
		endAttempt();
		if (told.load() >= 0) {
			server.recordReportedLoad(told.load(), now);
		}
		if (told.notRun()) {
			boolean misdirected = answer.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
			if (misdirected) {
				server.recordLost(now);
				this.events.ejected(server, "another server has its address");
			}
			else if (!full) {
				server.recordResponse(this.wanted.object(), false, this.sentAt, now);
			}
			this.events.attemptFailed(server, this.tried.size(), "not_run", answer.status().toString());
			this.traffic.metrics().attempt("not_run");
			if (!this.finished) {
				again("shed", misdirected || this.traffic.retries(this.wanted.service()).tryAcquire());
			}
			return;
		}
		this.sentTo.add(server.entry().id());
		this.mayHaveRun = true;
		boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
		if (told.encoded() || told.id().isEmpty() || success && !told.signed()) {
			server.recordFailure(now);
			this.events.attemptFailed(server, this.tried.size(), "untrusted", answer.status().toString());
			lost("untrusted_answer");
			return;
		}
		server.recordResponse(this.wanted.object(), success || answer.status().code() < UNPROCESSABLE, this.sentAt,
				now);
		if (success && this.choice.slotFree()) {
			this.traffic.placement()
				.serviceTimes(this.route)
				.recordSample((now - this.sentAt) / (double) TimeUnit.MILLISECONDS.toNanos(1), this.choice.warm());
		}
		this.traffic.metrics().attempt(success ? "served" : "failed");
		if (this.finished) {
			return;
		}
		if (answer.status().code() >= UNPROCESSABLE && this.route.idempotent() && canRepeat()) {
			this.events.attemptFailed(server, this.tried.size(), "server_error", answer.status().toString());
			attempt();
			return;
		}
		deliver(server, answer, success);
	}

	private void deliver(ServerState server, FullHttpResponse answer, boolean success) {
		boolean promise = Set.of(408, 421, 429, 503).contains(answer.status().code());
		if (promise) {
			fail("server_status", HttpResponseStatus.BAD_GATEWAY);
			return;
		}
		if (success) {
			if (this.traffic.sampled()) {
				this.events.served(answer.status().code(), this.tried.size(), this.choice);
			}
		}
		else {
			this.events.failed("server", answer.status().code(), server.entry().id(), this.tried.size());
		}
		finish(success ? "served" : "server_error");
		this.caller.forwardResponse(answer);
	}

	private void attemptLost(ServerState server, ResponseListener.Failure failure, String detail) {
		long now = System.nanoTime();
		endAttempt();
		this.traffic.metrics().attempt(failure.name());
		this.events.attemptFailed(server, this.tried.size(), failure.name(), detail);
		if (failure == ResponseListener.Failure.NOT_SENT) {
			server.recordUnreachable(now);
			this.events.ejected(server, detail);
			this.traffic.connections().closeIdle(server.entry().address());
			if (!this.finished) {
				again("unreachable", this.connectTries < CONNECT_TRIES);
			}
			return;
		}
		server.recordFailure(now);
		this.sentTo.add(server.entry().id());
		this.mayHaveRun = true;
		lost(failure.name());
	}

	private void lost(String reason) {
		if (this.finished) {
			return;
		}
		if (this.route.idempotent() && canRepeat()) {
			attempt();
			return;
		}
		fail(reason, HttpResponseStatus.BAD_GATEWAY);
	}

	private boolean canRepeat() {
		return this.sentTo.size() < this.route.maximumServers()
				&& left() > this.traffic.placement().serviceTimes(this.route).expectedMillis(true)
				&& this.traffic.retries(this.wanted.service()).tryAcquire();
	}

	private void again(String reason, boolean allowed) {
		if (allowed && this.tried.size() < Math.max(this.route.maximumServers(), CONNECT_TRIES)) {
			attempt();
		}
		else {
			giveUp(reason, 0, 0, SOON_MILLIS);
		}
	}

	private void giveUp(String reason, double expected, double latest, double returnMillis) {
		if (this.mayHaveRun) {
			fail(reason, HttpResponseStatus.BAD_GATEWAY);
		}
		else {
			refuse(reason, HttpResponseStatus.SERVICE_UNAVAILABLE, expected, latest, returnMillis);
		}
	}

	private void timedOut() {
		if (this.finished) {
			return;
		}
		boolean sent = this.mayHaveRun || this.attemptOpen && this.call.isWritten();
		if (this.attemptOpen) {
			ServerState silent = this.choice.server();
			silent.recordTimeout(this.sentAt, System.nanoTime());
			this.traffic.connections().closeIdle(silent.entry().address());
			if (this.route.idempotent() || !this.call.isWritten()) {
				endAttempt();
				this.call.cancel();
			}
			else {
				this.traffic.loop().schedule(this::abandonAttempt, LAST_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
		if (sent) {
			fail("timeout", HttpResponseStatus.GATEWAY_TIMEOUT);
		}
		else {
			refuse("connect_timeout", HttpResponseStatus.SERVICE_UNAVAILABLE, 0, 0, SOON_MILLIS);
		}
	}

	/**
	 * Closes the connection of a request that runs once, long after it was given up; its
	 * server may have forgotten the connection.
	 */
	private void abandonAttempt() {
		if (this.attemptOpen) {
			endAttempt();
			this.call.cancel();
		}
	}

	private void refuse(String reason, HttpResponseStatus status, double expected, double latest, double returnMillis) {
		this.events.refused(reason, status.code(), this.organisation.map(OrganisationPlan::name).orElse(NO_ROUTE),
				expected, latest, returnMillis);
		if (this.tokenTaken) {
			this.traffic.shares().refund(this.organisation.orElseThrow().name());
		}
		finish(reason);
		this.caller.sendError(status, "not run: " + reason,
				OptionalDouble.of(returnMillis / TimeUnit.SECONDS.toMillis(1)));
	}

	private void overRate(OrganisationPlan exceeded, double returnMillis) {
		this.events.rateExceeded(exceeded, this.traffic, returnMillis);
		finish("rate");
		this.caller.sendError(HttpResponseStatus.TOO_MANY_REQUESTS, "not run: rate",
				OptionalDouble.of(returnMillis / TimeUnit.SECONDS.toMillis(1)));
	}

	private void reject(String reason, HttpResponseStatus status) {
		this.events.refused(reason, status.code(), NO_ROUTE, 0, 0, 0);
		finish(reason);
		this.caller.sendError(status, reason, OptionalDouble.empty());
	}

	private void fail(String reason, HttpResponseStatus status) {
		this.events.failed(reason, status.code(), serverName(), this.tried.size());
		finish(reason);
		this.caller.sendError(status, "may have run: " + reason, OptionalDouble.empty());
	}

	private void finish(String outcome) {
		this.finished = true;
		this.request.release();
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.traffic.requestFinished(routeName(), outcome, System.nanoTime() - this.arrivedAt);
	}

	private void endAttempt() {
		if (this.attemptOpen) {
			this.attemptOpen = false;
			this.choice.server().recordRequestEnded();
		}
	}

	private long left() {
		long callers = this.described.timeoutMillis() - WAY_BACK_MILLIS;
		long routes = (this.route.timeoutMillis() > 0) ? this.route.timeoutMillis() : Long.MAX_VALUE;
		return Math.min(callers, routes) - age();
	}

	private long age() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrivedAt);
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : NO_ROUTE;
	}

	private String serverName() {
		return (this.choice != null) ? this.choice.server().entry().id() : NO_ROUTE;
	}

	/**
	 * Receives the end of one attempt at a server.
	 */
	private final class Attempt implements ResponseListener {

		private final ServerState server;

		private Attempt(ServerState server) {
			this.server = server;
		}

		@Override
		public boolean responseReceived(FullHttpResponse answer) {
			Dialect.ServerResponse told = ProxiedRequest.this.traffic.dialect().response(answer);
			if (told.id().isPresent() && !told.id().get().equals(ProxiedRequest.this.described.id())) {
				ProxiedRequest.this.events.attemptFailed(this.server, ProxiedRequest.this.tried.size(),
						"foreign_answer", told.id().get());
				return false;
			}
			ProxiedRequest.this.answered(this.server, answer, told);
			return true;
		}

		@Override
		public void callFailed(Failure failure, String detail) {
			attemptLost(this.server, failure, detail);
		}

	}

}
