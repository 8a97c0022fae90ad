package io.masticlane.steering;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import io.masticlane.backend.BackendReport;
import io.masticlane.backend.Balancer;
import io.masticlane.failure.ErrorKind;
import io.masticlane.failure.Outcome;
import io.masticlane.failure.Refusal;
import io.masticlane.limit.Limits;
import io.masticlane.operation.Operations;
import io.masticlane.route.RoutingTable;

/**
 * Makes the decisions for every request: admission, claim of the operation, queueing,
 * choice of a backend server and retries. Confined to the decisions thread; the current
 * time is passed to each call.
 */
public final class Steering {

	private static final Set<AttemptResult> MAY_HAVE_RUN = EnumSet.of(AttemptResult.ANSWERED, AttemptResult.LOST,
			AttemptResult.TIMED_OUT, AttemptResult.ABANDONED);

	/**
	 * Refuses a request in a planned stop. Other entry hosts can serve it at once.
	 */
	private static final Refusal STOPPING = Refusal.of(ErrorKind.SHUTTING_DOWN).withRetryAfterMillis(50);

	private final Limits limits;

	private final Operations operations;

	private final Balancer balancer;

	private final RegionOrder regions;

	private final AdmissionQueue admission;

	private final Dispatcher dispatcher;

	private int inFlight;

	private long arrivals;

	/**
	 * Creates a new instance.
	 * @param limits the fleet-wide limits
	 * @param operations the operations that run at most once
	 * @param balancer chooses the backend server
	 * @param regions chooses the regions
	 */
	public Steering(Limits limits, Operations operations, Balancer balancer, RegionOrder regions) {
		this.limits = limits;
		this.operations = operations;
		this.balancer = balancer;
		this.regions = regions;
		this.admission = new AdmissionQueue(limits, this::requestAdmitted,
				(request) -> refuse(request, Refusal.of(ErrorKind.RATE_EXCEEDED)));
		this.dispatcher = new Dispatcher(balancer, regions, this::refuse);
	}

	/**
	 * Applies a configuration.
	 * @param table the routing table of the configuration
	 * @param now the current time in nanoseconds
	 */
	public void configure(RoutingTable table, long now) {
		this.limits.configure(table.configuration(), table.revision(), now);
		this.regions.configure(table);
		this.balancer.configure(table, now);
		this.dispatcher.tick(now);
	}

	/**
	 * Submits a request for decisions.
	 * @param incoming the request
	 * @param now the current time in nanoseconds
	 * @return the state of the request, to be passed with each later event
	 */
	public InFlightRequest submit(IncomingRequest incoming, long now) {
		InFlightRequest request = new InFlightRequest(incoming);
		this.inFlight++;
		this.arrivals++;
		this.admission.submit(request, now);
		return request;
	}

	/**
	 * Refuses a request that would probably outlast a planned stop.
	 * @param incoming the request
	 * @return the state of the request
	 */
	public InFlightRequest refuseInStop(IncomingRequest incoming) {
		InFlightRequest request = new InFlightRequest(incoming);
		this.inFlight++;
		refuse(request, STOPPING);
		return request;
	}

	/**
	 * Refuses a request in flight because this entry host ends.
	 * @param request the state of the request
	 * @param result the result of its current attempt
	 * @param now the current time in nanoseconds
	 */
	public void entryHostEnds(InFlightRequest request, AttemptResult result, long now) {
		if (!request.isEnded()) {
			endAttempt(request, result, now);
			refuse(request, STOPPING);
		}
	}

	/**
	 * Decides how to continue with a request after an attempt ended, or after its caller
	 * disconnected before one started.
	 * @param request the state of the request
	 * @param result the result of the attempt
	 * @param now the current time in nanoseconds
	 */
	public void attemptEnded(InFlightRequest request, AttemptResult result, long now) {
		if (request.isEnded()) {
			return;
		}
		endAttempt(request, result, now);
		switch (result) {
			case ANSWERED, ABANDONED -> finish(request);
			case NOT_SENT, SHED -> this.dispatcher.retry(request);
			case LOST -> attemptLost(request);
			case TIMED_OUT, CANCELLED -> refuse(request, Refusal.of(ErrorKind.DEADLINE_EXCEEDED));
		}
		this.dispatcher.serve(request.incoming().match().service().name(), now);
	}

	/**
	 * Handles the load and state that a backend server reported.
	 * @param server the name of the backend server
	 * @param report the report
	 * @param now the current time in nanoseconds
	 */
	public void reportReceived(String server, BackendReport report, long now) {
		this.balancer.reportReceived(server, report, now);
	}

	/**
	 * Handles a notice from another entry host that a backend server is leaving.
	 * @param server the name of the backend server
	 * @param now the current time in nanoseconds
	 */
	public void leavingReceived(String server, long now) {
		this.balancer.markLeaving(server, now);
	}

	/**
	 * Returns the backend servers that recently reported to this entry host that they are
	 * leaving.
	 * @param now the current time in nanoseconds
	 * @return the names of the backend servers
	 */
	public List<String> leavingServers(long now) {
		return this.balancer.leavingServers(now);
	}

	/**
	 * Runs the periodic work: admits or refuses requests that wait for tokens, refuses
	 * queued requests that have expired, and retries backend servers whose back-off has
	 * ended.
	 * @param now the current time in nanoseconds
	 */
	public void tick(long now) {
		this.admission.tick(now);
		this.dispatcher.tick(now);
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number of requests between arrival and completion
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the number of requests submitted so far.
	 * @return the number of requests submitted so far
	 */
	public long arrivals() {
		return this.arrivals;
	}

	/**
	 * Returns the number of requests that wait for a slot.
	 * @return the number of requests that wait for a slot
	 */
	public int queuedRequests() {
		return this.dispatcher.queuedRequests();
	}

	private void requestAdmitted(InFlightRequest request, long now) {
		if (request.incoming().isIdempotent()) {
			this.dispatcher.dispatch(request, now);
		}
		else {
			this.operations.claim(request.incoming().operation(), now,
					(verdict, at) -> verdictReceived(request, verdict, at));
		}
	}

	private void verdictReceived(InFlightRequest request, Operations.Verdict verdict, long now) {
		if (request.isEnded()) {
			verdict.grant().release();
			return;
		}
		switch (verdict.kind()) {
			case GRANTED -> {
				request.claimGranted(verdict.grant());
				this.dispatcher.dispatch(request, now);
			}
			case ANSWERED -> replay(request, verdict);
			case RUNNING -> refuse(request, Refusal.of(ErrorKind.OPERATION_RUNNING));
			case MISMATCHED -> refuse(request, Refusal.of(ErrorKind.OPERATION_MISMATCHED));
			case UNKNOWN -> refuse(request, Refusal.of(ErrorKind.OPERATION_UNKNOWN));
			case FULL -> {
				request.markNotRun();
				refuse(request, Refusal.of(ErrorKind.SATURATED));
			}
		}
	}

	private void replay(InFlightRequest request, Operations.Verdict verdict) {
		finish(request);
		verdict.response().ifPresent(request.incoming().handler()::replay);
	}

	private void endAttempt(InFlightRequest request, AttemptResult result, long now) {
		freeSlot(request, result, now);
		if (MAY_HAVE_RUN.contains(result)) {
			request.markMayHaveRun();
		}
	}

	private void freeSlot(InFlightRequest request, AttemptResult result, long now) {
		if (request.server() == null) {
			this.dispatcher.remove(request);
			return;
		}
		this.balancer.release(request.server(), result, now);
		this.dispatcher.attemptEnded(request);
		request.unassign();
	}

	private void attemptLost(InFlightRequest request) {
		if (request.incoming().isIdempotent()) {
			this.dispatcher.retry(request);
		}
		else {
			refuse(request, Refusal.of(ErrorKind.BACKEND_LOST));
		}
	}

	private void refuse(InFlightRequest request, Refusal refusal) {
		Outcome outcome = knownNotRun(request) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
		finish(request);
		request.incoming().handler().refuse(refusal.withOutcome(outcome));
	}

	/**
	 * Returns whether no attempt can have run the operation. A request that names no
	 * operation has no attempts other than its own.
	 * @param request the state of the request
	 * @return whether the operation is known not to have run
	 */
	private boolean knownNotRun(InFlightRequest request) {
		IncomingRequest incoming = request.incoming();
		if (request.mayHaveRun()) {
			return false;
		}
		return !incoming.operation().hasKey() || request.isKnownNotRun()
				|| (!incoming.isIdempotent() && this.operations.isKnownNotRun(incoming.operation()));
	}

	private void finish(InFlightRequest request) {
		this.dispatcher.refundReservedRetry(request);
		request.end();
		this.inFlight--;
	}

}
