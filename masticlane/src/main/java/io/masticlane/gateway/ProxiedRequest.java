package io.masticlane.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.masticlane.client.ClientCall;
import io.masticlane.client.ConnectionUse;
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
 * Proxies one request of a caller: validates and admits it, forwards it to a backend
 * server, retries it if it is idempotent or was not run, and sends exactly one response.
 */
final class ProxiedRequest implements CallerHandler.Processing {

	private static final String NONE = "-";

	private static final String STOPPING = "stopping";

	private static final int SERVER_ERROR_STATUS = 500;

	/**
	 * The remaining time below which no backend server can process a request, in
	 * milliseconds.
	 */
	private static final long MINIMUM_ATTEMPT_MILLIS = 20;

	/**
	 * How long before the caller's own timeout the gateway stops waiting for a response,
	 * in milliseconds: the latency of the return path to the caller.
	 */
	private static final long RETURN_LATENCY_MILLIS = 5;

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
	 * The divisor of the caller's timeout that a request may wait for the start of the
	 * gateway.
	 */
	private static final int STARTUP_WAIT_DIVISOR = 4;

	/**
	 * The delay before a retry after a refusal that load does not determine, in
	 * milliseconds.
	 */
	private static final double DEFAULT_RETRY_AFTER_MILLIS = 300;

	/**
	 * The delay before a retry at another gateway after a refusal by a leaving one, in
	 * milliseconds: the time to connect to it.
	 */
	private static final double OTHER_GATEWAY_RETRY_AFTER_MILLIS = 50;

	private final GatewayContext gateway;

	private final CallerHandler caller;

	private final FullHttpRequest request;

	private final long arrivedAt = System.nanoTime();

	private final long begunAt;

	private final Set<String> triedServers = new HashSet<>();

	private final Set<String> sentToServers = new HashSet<>();

	private RequestEvents events;

	private TrafficPlan plan;

	private PathRoute route;

	private String path;

	private Dialect.CallerRequest callerRequest;

	private Optional<OrganisationPlan> organisation = Optional.empty();

	private Placement.Request placementRequest;

	private Placement.Choice choice;

	private ClientCall call;

	private ScheduledFuture<?> deadlineTimer;

	private long sentAt;

	private int attempts;

	private boolean mayHaveRun;

	private boolean waiting;

	private boolean tokenAcquired;

	private boolean attemptOpen;

	private boolean finished;

	ProxiedRequest(GatewayContext gateway, CallerHandler caller, FullHttpRequest request) {
		this.gateway = gateway;
		this.caller = caller;
		this.request = request.retain();
		this.begunAt = caller.requestBegunAt();
	}

	@Override
	public void start() {
		this.gateway.requestStarted();
		this.callerRequest = this.gateway.dialect().request(this.request.headers());
		this.waiting = this.gateway.startupQueue().offer(this::resume);
		if (this.waiting) {
			this.deadlineTimer = this.gateway.loop()
				.schedule(this::resume, Math.min(GatewayTimes.STARTUP_WAIT_MILLIS,
						this.callerRequest.timeoutMillis() / STARTUP_WAIT_DIVISOR), TimeUnit.MILLISECONDS);
		}
		else {
			process();
		}
	}

	/**
	 * Continues a request that waited for the gateway's start, once.
	 */
	private void resume() {
		if (this.waiting) {
			this.waiting = false;
			this.deadlineTimer.cancel(false);
			process();
		}
	}

	private void process() {
		this.plan = this.gateway.plan();
		this.events = new RequestEvents(this.gateway.events(), this.callerRequest.id(), this.plan.version(),
				this.arrivedAt);
		if (this.plan.version() == TrafficPlan.NO_VERSION) {
			refuse("no_plan", HttpResponseStatus.SERVICE_UNAVAILABLE, 0, 0, DEFAULT_RETRY_AFTER_MILLIS);
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
			this.organisation = this.callerRequest.key().flatMap(this.plan::organisationByKey);
			if (this.organisation.isEmpty() && !this.route.open()) {
				reject("unknown_key", HttpResponseStatus.UNAUTHORIZED);
				return;
			}
		}
		admit();
	}

	@Override
	public void responseCut(CallerHandler.Disconnection reason) {
		this.events.responseCut(reason);
	}

	@Override
	public void responseUnconfirmed(CallerHandler.Disconnection reason) {
		this.events.responseUnconfirmed(reason);
	}

	@Override
	public void callerDisconnected(CallerHandler.Disconnection reason) {
		if (this.finished) {
			return;
		}
		if (this.waiting) {
			this.waiting = false;
			finish("abandoned");
			return;
		}
		boolean cancellable = this.route == null || this.route.idempotent() || !this.attemptOpen
				|| !this.call.isWritten();
		this.events.abandoned(reason, serverName(), cancellable);
		finish("abandoned");
		if (!cancellable) {
			this.gateway.loop()
				.schedule(this::closeAbandonedAttempt, Math.max(0, remainingMillis()) + ABANDONED_ATTEMPT_MARGIN_MILLIS,
						TimeUnit.MILLISECONDS);
		}
		if (cancellable && this.attemptOpen) {
			endAttempt();
			this.call.cancel();
		}
	}

	@Override
	public void gatewayEnds() {
		// Without a plan the request is refused, as it is when no time is left.
		resume();
		if (this.finished) {
			return;
		}
		boolean written = isWritten();
		if (this.attemptOpen) {
			endAttempt();
			this.call.cancel();
		}
		if (written) {
			fail(STOPPING, HttpResponseStatus.GATEWAY_TIMEOUT);
		}
		else {
			refuse(STOPPING, HttpResponseStatus.SERVICE_UNAVAILABLE, 0, 0, OTHER_GATEWAY_RETRY_AFTER_MILLIS);
		}
	}

	private void admit() {
		if (this.organisation.isPresent()) {
			long waitMillis = this.gateway.shares().acquire(this.organisation.get().name());
			if (waitMillis > 0) {
				refuseRateExceeded(this.organisation.get(), Math.max(waitMillis, DEFAULT_RETRY_AFTER_MILLIS));
				return;
			}
			this.tokenAcquired = true;
		}
		String service = this.gateway.splits().nextService(this.route);
		this.gateway.retryAllowance(service).countRequest();
		Set<String> allowedRegions = new Entitlement(this.route, this.organisation).allowedRegions();
		long requestHash = Rendezvous.hash(this.callerRequest.id());
		long objectHash = this.route.sticky() ? this.callerRequest.object().map(Rendezvous::hash).orElse(requestHash)
				: requestHash;
		this.placementRequest = new Placement.Request(this.route, service, objectHash, requestHash, allowedRegions,
				Set.of(), this.route.objectiveMillis(),
				this.plan.service(service).map(ServicePlan::coldRequestsPerSecond).orElse(0.0),
				this.gateway.gatewaysInRegion());
		this.deadlineTimer = this.gateway.loop()
			.schedule(this::deadlineExceeded, Math.max(1, remainingMillis()), TimeUnit.MILLISECONDS);
		attempt();
	}

	private void attempt() {
		if (remainingMillis() < MINIMUM_ATTEMPT_MILLIS) {
			abort("no_time_left", 0, 0, DEFAULT_RETRY_AFTER_MILLIS);
			return;
		}
		long now = System.nanoTime();
		if (!admitsWhileStopping(now)) {
			abort(STOPPING, ownRemainingMillis(), remainingMillis(), OTHER_GATEWAY_RETRY_AFTER_MILLIS);
			return;
		}
		Optional<Placement.Choice> found = this.gateway.placement()
			.choose(this.placementRequest.withExcluded(this.triedServers), now);
		if (found.isEmpty()) {
			OptionalLong pauseMillis = this.gateway.placement().pauseMillis(this.placementRequest, now);
			abort(pauseMillis.isPresent() ? "paused" : "no_server", 0, 0,
					Math.max(DEFAULT_RETRY_AFTER_MILLIS, pauseMillis.orElse(0)));
			return;
		}
		Placement.Choice chosen = found.get();
		boolean congested = this.gateway.placement()
			.isCongested(this.placementRequest.service(), chosen.server().region());
		double latestMillis = this.gateway.admission()
			.latestResponseMillis(this.route.objectiveMillis() - ageMillis(), remainingMillis(),
					new Entitlement(this.route, this.organisation).priority(), congested);
		double expectedMillis = chosen.admissionMillis(congested, !this.placementRequest.allowedRegions().isEmpty());
		if (expectedMillis > latestMillis && !chosen.slotFree()) {
			this.gateway.regionFlow().recordRefused(chosen.server().region());
			abort(congested ? "crowded" : "load", expectedMillis, latestMillis,
					this.gateway.admission().retryAfterMillis(expectedMillis - latestMillis));
			return;
		}
		send(chosen, now);
	}

	private boolean admitsWhileStopping(long now) {
		Optional<StopSchedule> stop = this.gateway.stop();
		return stop.isEmpty() || stop.get()
			.admits(this.begunAt, now, ownRemainingMillis(),
					this.gateway.placement().serviceTimes(this.route).expectedMillis(false));
	}

	private void send(Placement.Choice chosen, long now) {
		this.choice = chosen;
		ServerState server = chosen.server();
		FullHttpRequest forwarded = ForwardedRequest.of(this.request, this.path, this.gateway.dialect(),
				new Dialect.Forwarding(server.entry().id(), Math.max(1, remainingMillis()),
						this.organisation.map(OrganisationPlan::name)));
		this.triedServers.add(server.entry().id());
		this.attempts++;
		server.recordRequestSent(now);
		this.gateway.requestSent(server, now);
		this.gateway.regionFlow().recordSent(chosen);
		this.gateway.metrics().regionChosen(this.placementRequest.service(), chosen);
		this.sentAt = now;
		this.attemptOpen = true;
		this.call = this.gateway.connections()
			.call(server.entry().address(), forwarded,
					Optional.of(this.callerRequest.id()).filter((id) -> isIdentified()),
					this.route.idempotent() ? IDEMPOTENT_MAXIMUM_IDLE_MILLIS : NON_IDEMPOTENT_MAXIMUM_IDLE_MILLIS,
					new Attempt(server));
		if (this.call.use().repeated()) {
			this.gateway.metrics().identifierRepeated();
		}
	}

	private void handleUntrustedResponse(ServerState server, FullHttpResponse response) {
		endAttempt();
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
		endAttempt();
		if (parsed.load() >= 0) {
			server.recordReportedLoad(parsed.load(), now);
		}
		this.gateway.announcements().record(server, parsed, this.callerRequest.id(), now);
		if (parsed.notRun()) {
			boolean misdirected = response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
			boolean unidentified = !isIdentified() && response.status().equals(HttpResponseStatus.BAD_REQUEST);
			if (misdirected) {
				server.recordLost(now);
				this.events.ejected(server, "another server has its address");
			}
			else if (!atCapacity && !unidentified) {
				server.recordResponse(this.placementRequest.object(), false, this.sentAt, now);
			}
			this.events.attemptFailed(server, this.triedServers.size(), "not_run", connectionUse(),
					response.status().toString());
			this.gateway.metrics().attemptFinished("not_run");
			if (!this.finished && unidentified) {
				deliver(server, response, false);
			}
			else if (!this.finished) {
				retryElsewhere("shed",
						misdirected || this.gateway.retryAllowance(this.placementRequest.service()).tryAcquire());
			}
			return;
		}
		this.sentToServers.add(server.entry().id());
		this.mayHaveRun = true;
		boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		server.recordResponse(this.placementRequest.object(), success || response.status().code() < SERVER_ERROR_STATUS,
				this.sentAt, now);
		if (success) {
			double millis = (now - this.sentAt) / (double) TimeUnit.MILLISECONDS.toNanos(1);
			this.choice.recordResponseTime(millis, now);
			if (this.choice.slotFree()) {
				this.gateway.placement().serviceTimes(this.route).recordSample(millis, this.choice.warm());
			}
		}
		this.gateway.metrics().attemptFinished(success ? "served" : "failed");
		if (this.finished) {
			return;
		}
		if (response.status().code() >= SERVER_ERROR_STATUS && this.route.idempotent() && canRetry()) {
			this.events.attemptFailed(server, this.triedServers.size(), "server_error", connectionUse(),
					response.status().toString());
			attempt();
			return;
		}
		deliver(server, response, success);
	}

	private void deliver(ServerState server, FullHttpResponse response, boolean success) {
		boolean impliesNotRun = Set.of(408, 421, 429, 503).contains(response.status().code());
		if (impliesNotRun) {
			fail("server_status", HttpResponseStatus.BAD_GATEWAY);
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
		finish(success ? "served" : "server_error");
		this.caller.forwardResponse(response);
	}

	private void handleCallFailure(ServerState server, ResponseListener.Failure failure, String detail) {
		long now = System.nanoTime();
		endAttempt();
		this.gateway.metrics().attemptFinished(failure.name());
		this.events.attemptFailed(server, this.triedServers.size(), failure.name(), connectionUse(), detail);
		if (failure == ResponseListener.Failure.NOT_SENT) {
			server.recordUnreachable(now);
			this.events.ejected(server, detail);
			this.gateway.connections().closeIdle(server.entry().address());
			if (!this.finished) {
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
		if (this.finished) {
			return;
		}
		if (this.route.idempotent() && canRetry()) {
			attempt();
			return;
		}
		fail(reason, HttpResponseStatus.BAD_GATEWAY);
	}

	private boolean canRetry() {
		return this.sentToServers.size() < this.route.maximumServers()
				&& remainingMillis() > this.gateway.placement().serviceTimes(this.route).expectedMillis(true)
				&& this.gateway.retryAllowance(this.placementRequest.service()).tryAcquire();
	}

	private void retryElsewhere(String reason, boolean allowed) {
		if (allowed && this.triedServers.size() < Math.max(this.route.maximumServers(), MAXIMUM_CONNECT_ATTEMPTS)) {
			attempt();
		}
		else {
			abort(reason, 0, 0, DEFAULT_RETRY_AFTER_MILLIS);
		}
	}

	private void abort(String reason, double expectedMillis, double latestMillis, double retryAfterMillis) {
		if (this.mayHaveRun) {
			fail(reason, HttpResponseStatus.BAD_GATEWAY);
		}
		else {
			refuse(reason, HttpResponseStatus.SERVICE_UNAVAILABLE, expectedMillis, latestMillis, retryAfterMillis);
		}
	}

	private void deadlineExceeded() {
		if (this.finished) {
			return;
		}
		boolean written = isWritten();
		if (this.attemptOpen) {
			ServerState unresponsive = this.choice.server();
			this.choice.recordTimeout(this.sentAt, System.nanoTime());
			this.gateway.connections().closeIdle(unresponsive.entry().address());
			if (this.route.idempotent() || !this.call.isWritten()) {
				endAttempt();
				this.call.cancel();
			}
			else {
				this.gateway.loop()
					.schedule(this::closeAbandonedAttempt, ABANDONED_ATTEMPT_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
		if (written) {
			fail("timeout", HttpResponseStatus.GATEWAY_TIMEOUT);
		}
		else {
			refuse("connect_timeout", HttpResponseStatus.SERVICE_UNAVAILABLE, 0, 0, DEFAULT_RETRY_AFTER_MILLIS);
		}
	}

	/**
	 * Returns whether any part of the request may have reached a server.
	 * @return whether the request may have run
	 */
	private boolean isWritten() {
		return this.mayHaveRun || this.attemptOpen && this.call.isWritten();
	}

	/**
	 * Resets the connection of an abandoned request that is not idempotent. A request
	 * that has not reached its server by now would run long after its caller gave it up.
	 */
	private void closeAbandonedAttempt() {
		if (this.attemptOpen) {
			endAttempt();
			this.call.cancel();
		}
	}

	private void refuse(String reason, HttpResponseStatus status, double expectedMillis, double latestMillis,
			double retryAfterMillis) {
		this.events.refused(reason, status.code(), this.organisation.map(OrganisationPlan::name).orElse(NONE),
				expectedMillis, latestMillis, retryAfterMillis);
		if (this.tokenAcquired) {
			this.gateway.shares().refund(this.organisation.orElseThrow().name());
		}
		finish(reason);
		this.caller.sendError(status, "not run: " + reason,
				OptionalDouble.of(retryAfterMillis / TimeUnit.SECONDS.toMillis(1)));
	}

	private void refuseRateExceeded(OrganisationPlan exceeded, double retryAfterMillis) {
		this.events.rateExceeded(exceeded, this.gateway, retryAfterMillis);
		finish("rate");
		this.caller.sendError(HttpResponseStatus.TOO_MANY_REQUESTS, "not run: rate",
				OptionalDouble.of(retryAfterMillis / TimeUnit.SECONDS.toMillis(1)));
	}

	private void reject(String reason, HttpResponseStatus status) {
		this.events.refused(reason, status.code(), NONE, 0, 0, 0);
		finish(reason);
		this.caller.sendError(status, reason, OptionalDouble.empty());
	}

	private void fail(String reason, HttpResponseStatus status) {
		this.events.failed(reason, status.code(), serverName(), this.triedServers.size(), connectionUse());
		finish(reason);
		this.caller.sendError(status, "may have run: " + reason, OptionalDouble.empty());
	}

	private void finish(String outcome) {
		this.finished = true;
		this.request.release();
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		this.gateway.requestFinished(routeName(), outcome, System.nanoTime() - this.arrivedAt);
	}

	private void endAttempt() {
		if (this.attemptOpen) {
			this.attemptOpen = false;
			this.choice.server().recordRequestEnded();
		}
	}

	/**
	 * Returns the time until the caller and the route expect the response, or until a
	 * leaving gateway ends.
	 * @return the time in milliseconds
	 */
	private long remainingMillis() {
		Optional<StopSchedule> stop = this.gateway.stop();
		return stop.isEmpty() ? ownRemainingMillis()
				: Math.min(ownRemainingMillis(), stop.get().remainingMillis(System.nanoTime()));
	}

	private long ownRemainingMillis() {
		long callerMillis = this.callerRequest.timeoutMillis() - RETURN_LATENCY_MILLIS;
		long routeMillis = (this.route.timeoutMillis() > 0) ? this.route.timeoutMillis() : Long.MAX_VALUE;
		return Math.min(callerMillis, routeMillis) - ageMillis();
	}

	private long ageMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrivedAt);
	}

	/**
	 * Returns whether responses name the request. One without an identifier has a
	 * connection of its own, on which any response is its own.
	 * @return whether the request has an identifier
	 */
	private boolean isIdentified() {
		return !this.callerRequest.id().isEmpty();
	}

	private ConnectionUse connectionUse() {
		return (this.call != null) ? this.call.use() : ConnectionUse.NONE;
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : NONE;
	}

	private String serverName() {
		return (this.choice != null) ? this.choice.server().entry().id() : NONE;
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
			Dialect.ServerResponse parsed = ProxiedRequest.this.gateway.dialect().response(response);
			if (isIdentified() && parsed.id().isPresent()
					&& !parsed.id().get().equals(ProxiedRequest.this.callerRequest.id())) {
				ProxiedRequest.this.events.attemptFailed(this.server, ProxiedRequest.this.triedServers.size(),
						"foreign_answer", connectionUse(), parsed.id().get());
				return Disposition.UNRELATED;
			}
			if (!isTrusted(response, parsed)) {
				handleUntrustedResponse(this.server, response);
				return Disposition.DOUBTFUL;
			}
			handleResponse(this.server, response, parsed);
			// A copy of a response that names no request would fail the next one.
			return parsed.id().isPresent() ? Disposition.COMPLETE : Disposition.DOUBTFUL;
		}

		/**
		 * Returns whether the response is certainly the server's own and to this request.
		 * A refusal without an identifier may repeat the one of an earlier request,
		 * unless this is the connection's first request.
		 * @param response the response
		 * @param parsed the values of its head
		 * @return whether the response is trusted
		 */
		private boolean isTrusted(FullHttpResponse response, Dialect.ServerResponse parsed) {
			if (parsed.notRun()) {
				return parsed.id().isPresent() || !ProxiedRequest.this.call.isOnReusedConnection();
			}
			boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
			return !parsed.encoded() && (parsed.id().isPresent() || !isIdentified()) && (parsed.signed() || !success);
		}

		@Override
		public void callFailed(Failure failure, String detail) {
			handleCallFailure(this.server, failure, detail);
		}

	}

}
