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
 * Decides on every request: admission, claim, queueing, choice of a backend server and
 * retries. Used on the decisions' thread alone; time comes with each call.
 */
public final class Steering {

	private static final Set<AttemptResult> RUN = EnumSet.of(AttemptResult.ANSWERED, AttemptResult.LOST,
			AttemptResult.TIMED_OUT, AttemptResult.ABANDONED);

	private final Limits limits;

	private final Operations operations;

	private final Balancer balancer;

	private final RegionOrder regions;

	private final AdmissionQueue admission;

	private final Dispatcher dispatcher;

	private int inFlight;

	private long arrivals;

	/**
	 * Creates a new decision core.
	 * @param limits the fleet-wide limits
	 * @param operations the operations that run at most once
	 * @param balancer the choice between backend servers
	 * @param regions the choice between regions
	 */
	public Steering(Limits limits, Operations operations, Balancer balancer, RegionOrder regions) {
		this.limits = limits;
		this.operations = operations;
		this.balancer = balancer;
		this.regions = regions;
		this.admission = new AdmissionQueue(limits, this::admitted,
				(flight) -> refuse(flight, Refusal.of(ErrorKind.RATE_EXCEEDED)));
		this.dispatcher = new Dispatcher(balancer, regions, this::refuse);
	}

	/**
	 * Puts a configuration in force.
	 * @param table the routing table of the configuration
	 * @param now the present in nanoseconds
	 */
	public void configure(RoutingTable table, long now) {
		this.limits.configure(table.configuration(), table.revision(), now);
		this.regions.configure(table);
		this.balancer.configure(table, now);
		this.dispatcher.tick(now);
	}

	/**
	 * Decides on a request that arrived.
	 * @param arrival the request
	 * @param now the present in nanoseconds
	 * @return the state of the request, to be given back with each later event
	 */
	public InFlightRequest submit(IncomingRequest arrival, long now) {
		InFlightRequest flight = new InFlightRequest(arrival);
		this.inFlight++;
		this.arrivals++;
		this.admission.submit(flight, now);
		return flight;
	}

	/**
	 * Decides how a request goes on after an attempt ended, or after its caller went away
	 * before one.
	 * @param flight the state of the request
	 * @param end how the attempt ended
	 * @param now the present in nanoseconds
	 */
	public void attemptEnded(InFlightRequest flight, AttemptResult end, long now) {
		if (flight.isEnded()) {
			return;
		}
		freeSlot(flight, end, now);
		if (RUN.contains(end)) {
			flight.markMayHaveRun();
		}
		switch (end) {
			case ANSWERED, ABANDONED -> finish(flight);
			case NOT_SENT, SHED -> this.dispatcher.retry(flight);
			case LOST -> lost(flight);
			case TIMED_OUT, CANCELLED -> refuse(flight, Refusal.of(ErrorKind.DEADLINE_EXCEEDED));
		}
		this.dispatcher.serve(flight.request().match().service().name(), now);
	}

	/**
	 * Receives what a backend server tells of itself.
	 * @param server the name of the backend server
	 * @param report the report
	 * @param now the present in nanoseconds
	 */
	public void reportReceived(String server, BackendReport report, long now) {
		this.balancer.reportReceived(server, report, now);
	}

	/**
	 * Receives from another entry host that a backend server is leaving.
	 * @param server the name of the backend server
	 * @param now the present in nanoseconds
	 */
	public void leavingReceived(String server, long now) {
		this.balancer.markLeaving(server, now);
	}

	/**
	 * Returns the backend servers that lately told themselves that they are leaving.
	 * @param now the present in nanoseconds
	 * @return the names of the backend servers
	 */
	public List<String> leavingServers(long now) {
		return this.balancer.leavingServers(now);
	}

	/**
	 * Lets time pass: requests that wait for tokens are admitted or refused, queued
	 * requests expire, and backed-off backend servers are used again.
	 * @param now the present in nanoseconds
	 */
	public void tick(long now) {
		this.admission.tick(now);
		this.dispatcher.tick(now);
	}

	/**
	 * Returns the requests between arrival and end.
	 * @return the requests between arrival and end
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the requests that have arrived so far.
	 * @return the requests that have arrived so far
	 */
	public long arrivals() {
		return this.arrivals;
	}

	/**
	 * Returns the requests that wait for a slot.
	 * @return the requests that wait for a slot
	 */
	public int queuedRequests() {
		return this.dispatcher.queuedRequests();
	}

	private void admitted(InFlightRequest flight, long now) {
		if (flight.request().isIdempotent()) {
			this.dispatcher.dispatch(flight, now);
		}
		else {
			this.operations.claim(flight.request().operation(), now, (verdict, at) -> claimed(flight, verdict, at));
		}
	}

	private void claimed(InFlightRequest flight, Operations.Verdict verdict, long now) {
		if (flight.isEnded()) {
			verdict.grant().release();
			return;
		}
		switch (verdict.kind()) {
			case GRANTED -> {
				flight.claimGranted(verdict.grant());
				this.dispatcher.dispatch(flight, now);
			}
			case ANSWERED -> replay(flight, verdict);
			case RUNNING -> refuse(flight, Refusal.of(ErrorKind.OPERATION_RUNNING));
			case MISMATCHED -> refuse(flight, Refusal.of(ErrorKind.OPERATION_MISMATCHED));
			case UNKNOWN -> refuse(flight, Refusal.of(ErrorKind.OPERATION_UNKNOWN));
			case FULL -> {
				flight.markNotRun();
				refuse(flight, Refusal.of(ErrorKind.SATURATED));
			}
		}
	}

	private void replay(InFlightRequest flight, Operations.Verdict verdict) {
		finish(flight);
		verdict.answer().ifPresent(flight.request().handler()::replay);
	}

	private void freeSlot(InFlightRequest flight, AttemptResult end, long now) {
		if (flight.server() == null) {
			this.dispatcher.remove(flight);
			return;
		}
		this.balancer.release(flight.server(), end, now);
		this.dispatcher.attemptEnded(flight);
		flight.unassign();
	}

	private void lost(InFlightRequest flight) {
		if (flight.request().isIdempotent()) {
			this.dispatcher.retry(flight);
		}
		else {
			refuse(flight, Refusal.of(ErrorKind.BACKEND_LOST));
		}
	}

	private void refuse(InFlightRequest flight, Refusal refusal) {
		Outcome outcome = knownNotRun(flight) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
		finish(flight);
		flight.request().handler().refuse(refusal.withOutcome(outcome));
	}

	/**
	 * Tells whether it is known that the operation has not run by any attempt; a request
	 * that names none is its own only attempt.
	 * @param flight the state of the request
	 * @return whether it is known that the operation has not run
	 */
	private boolean knownNotRun(InFlightRequest flight) {
		IncomingRequest arrival = flight.request();
		if (flight.mayHaveRun()) {
			return false;
		}
		return !arrival.operation().named() || flight.isKnownNotRun()
				|| (!arrival.isIdempotent() && this.operations.knownNotRun(arrival.operation()));
	}

	private void finish(InFlightRequest flight) {
		this.dispatcher.refundReservedRetry(flight);
		flight.end();
		this.inFlight--;
	}

}
