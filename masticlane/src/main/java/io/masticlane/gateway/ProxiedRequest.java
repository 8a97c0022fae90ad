package io.masticlane.gateway;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.masticlane.client.ConnectionUse;
import io.masticlane.placement.PlacementRequest;
import io.masticlane.placement.Rendezvous;
import io.masticlane.plan.Entitlement;
import io.masticlane.plan.OrganisationPlan;
import io.masticlane.plan.PathRoute;
import io.masticlane.plan.ServicePlan;
import io.masticlane.plan.TrafficPlan;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Proxies one request of a caller: validates and admits it, leaves its attempts to
 * {@link RequestAttempts}, and sends exactly one response.
 */
final class ProxiedRequest implements CallerHandler.Processing, AttemptOutcome {

	private static final String NONE = "-";

	private static final String SERVED = "served";

	/**
	 * The divisor of the caller's timeout that a request may wait for the start of the
	 * gateway.
	 */
	private static final int STARTUP_WAIT_DIVISOR = 4;

	private final GatewayContext gateway;

	private final CallerExchange caller;

	private final FullHttpRequest request;

	private final RequestClock clock;

	private final long begunAt;

	private RequestEvents events;

	private TrafficPlan plan;

	private PathRoute route;

	private String path;

	private Dialect.CallerRequest callerRequest;

	private Optional<OrganisationPlan> organisation = Optional.empty();

	private Optional<RequestAttempts> attempts = Optional.empty();

	private Optional<DownloadBody> download = Optional.empty();

	private ScheduledFuture<?> deadlineTimer;

	private boolean waiting;

	private boolean tokenAcquired;

	private boolean finished;

	ProxiedRequest(GatewayContext gateway, CallerExchange caller, FullHttpRequest request) {
		this.gateway = gateway;
		this.caller = caller;
		this.request = request.retain();
		this.clock = new RequestClock(caller.arrivedAt(), gateway::stop);
		this.begunAt = caller.begunAt();
	}

	/**
	 * Returns the processor of a gateway's requests.
	 * @param gateway the state that all requests share
	 * @return the processor
	 */
	static CallerHandler.Processor processor(GatewayContext gateway) {
		return new CallerHandler.Processor() {

			@Override
			public CallerHandler.Processing create(CallerExchange caller, FullHttpRequest request) {
				return new ProxiedRequest(gateway, caller, request);
			}

			@Override
			public boolean isIdempotent(FullHttpRequest request) {
				// The plan may still change while a request waits for the first one.
				return gateway.startupQueue().isOpen() && RequestTarget.parse(request)
					.flatMap((target) -> gateway.plan().route(target.host(), target.path()))
					.map(PathRoute::idempotent)
					.orElse(false);
			}

		};
	}

	@Override
	public boolean isIdempotent() {
		return this.route != null && this.route.idempotent();
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
				this.clock);
		if (this.plan.version() == TrafficPlan.NO_VERSION) {
			refuse(Refusal.of("no_plan"));
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
		this.clock.limit(this.callerRequest.timeoutMillis(), this.route.timeoutMillis());
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
		boolean cancellable = this.route == null || this.route.idempotent()
				|| !this.attempts.map(RequestAttempts::isOpenAndWritten).orElse(false);
		this.events.abandoned(reason, serverName(), cancellable);
		finish("abandoned");
		this.attempts.ifPresent(cancellable ? RequestAttempts::cancel : RequestAttempts::abandon);
	}

	@Override
	public void gatewayEnds() {
		// Without a plan the request is refused, as it is when no time is left.
		resume();
		if (this.finished) {
			return;
		}
		boolean written = isWritten();
		this.attempts.ifPresent(RequestAttempts::cancel);
		if (written) {
			fail(Refusal.STOPPING, HttpResponseStatus.GATEWAY_TIMEOUT);
		}
		else {
			refuse(Refusal.of(Refusal.STOPPING, Refusal.OTHER_GATEWAY_RETRY_AFTER_MILLIS));
		}
	}

	@Override
	public boolean isFinished() {
		return this.finished;
	}

	@Override
	public void respond(FullHttpResponse response, String result) {
		finish(result);
		this.caller.forwardResponse(response);
	}

	@Override
	public void refuse(Refusal refusal) {
		HttpResponseStatus status = HttpResponseStatus.SERVICE_UNAVAILABLE;
		this.events.refused(refusal, status.code(), this.organisation.map(OrganisationPlan::name).orElse(NONE));
		if (this.tokenAcquired) {
			this.gateway.shares().refund(this.organisation.orElseThrow().name());
		}
		finish(refusal.reason());
		this.caller.sendError(status, "not run: " + refusal.reason(),
				OptionalDouble.of(refusal.retryAfterMillis() / TimeUnit.SECONDS.toMillis(1)));
	}

	@Override
	public void fail(String reason, HttpResponseStatus status) {
		this.events.failed(reason, status.code(), serverName(),
				this.attempts.map(RequestAttempts::serverCount).orElse(0),
				this.attempts.map(RequestAttempts::connectionUse).orElse(ConnectionUse.NONE));
		finish(reason);
		this.caller.sendError(status, "may have run: " + reason, OptionalDouble.empty());
	}

	private void admit() {
		if (this.organisation.isPresent()) {
			long waitMillis = this.gateway.shares().acquire(this.organisation.get().name());
			if (waitMillis > 0) {
				refuseRateExceeded(this.organisation.get(), Math.max(waitMillis, Refusal.DEFAULT_RETRY_AFTER_MILLIS));
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
		PlacementRequest placement = new PlacementRequest(this.route, service, objectHash, requestHash, allowedRegions,
				Set.of(), this.route.objectiveMillis(),
				this.plan.service(service).map(ServicePlan::coldRequestsPerSecond).orElse(0.0),
				this.gateway.gatewaysInRegion());
		this.deadlineTimer = this.gateway.loop()
			.schedule(this::deadlineExceeded, Math.max(1, this.clock.remainingMillis()), TimeUnit.MILLISECONDS);
		DownloadBody body = this.gateway.downloads().body(this.route, this.organisation, this.request.method());
		this.download = Optional.of(body);
		RequestAttempts started = new RequestAttempts(this.gateway, new AdmittedRequest(this.request, this.path,
				this.callerRequest, this.route, this.organisation, placement, body, this.begunAt), this.clock,
				this.events, this);
		this.attempts = Optional.of(started);
		started.attempt();
	}

	private void deadlineExceeded() {
		if (this.finished) {
			return;
		}
		boolean written = isWritten();
		this.attempts.ifPresent(RequestAttempts::timeOut);
		if (written) {
			fail("timeout", HttpResponseStatus.GATEWAY_TIMEOUT);
		}
		else {
			refuse(Refusal.of("connect_timeout"));
		}
	}

	private boolean isWritten() {
		return this.attempts.map(RequestAttempts::isWritten).orElse(false);
	}

	private void refuseRateExceeded(OrganisationPlan exceeded, double retryAfterMillis) {
		this.events.rateExceeded(exceeded, this.gateway, retryAfterMillis);
		finish("rate");
		this.caller.sendError(HttpResponseStatus.TOO_MANY_REQUESTS, "not run: rate",
				OptionalDouble.of(retryAfterMillis / TimeUnit.SECONDS.toMillis(1)));
	}

	private void reject(String reason, HttpResponseStatus status) {
		this.events.refused(Refusal.of(reason, 0), status.code(), NONE);
		finish(reason);
		this.caller.sendError(status, reason, OptionalDouble.empty());
	}

	private void finish(String outcome) {
		this.finished = true;
		this.request.release();
		this.download.ifPresent((body) -> body.release(outcome.equals(SERVED)));
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		this.gateway.requestFinished(routeName(), outcome, this.clock.ageNanos());
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : NONE;
	}

	private String serverName() {
		return this.attempts.flatMap(RequestAttempts::lastServer).orElse(NONE);
	}

}
