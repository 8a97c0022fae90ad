package io.masticlane.steering;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.masticlane.configuration.BackendServer;
import io.masticlane.operation.Operations;
import io.masticlane.operation.RecordedAnswer;

/**
 * The state of a request between its arrival and its end; used on the decisions' thread
 * alone.
 */
public final class InFlightRequest {

	private final IncomingRequest arrival;

	private final Set<String> tried = new HashSet<>();

	private BackendServer server;

	private long queuedAt;

	private int attempts;

	private boolean retryReserved;

	private Operations.Grant grant = Operations.Grant.NoOp.INSTANCE;

	private Optional<RecordedAnswer> answer = Optional.empty();

	private boolean knownNotRun;

	private boolean mayHaveRun;

	private boolean ended;

	InFlightRequest(IncomingRequest arrival) {
		this.arrival = arrival;
	}

	IncomingRequest request() {
		return this.arrival;
	}

	Set<String> triedServers() {
		return this.tried;
	}

	/**
	 * Returns the backend server of the attempt under way.
	 * @return the backend server, or {@code null} between attempts
	 */
	BackendServer server() {
		return this.server;
	}

	int attempts() {
		return this.attempts;
	}

	void assign(BackendServer server) {
		this.server = server;
		this.attempts++;
		this.tried.add(server.name());
	}

	void unassign() {
		this.server = null;
	}

	/**
	 * Tells whether a retry was taken from the budget ahead of the attempt under way.
	 * @return whether a retry is reserved
	 */
	boolean isRetryReserved() {
		return this.retryReserved;
	}

	void reserveRetry(boolean reserved) {
		this.retryReserved = reserved;
	}

	long queuedAt() {
		return this.queuedAt;
	}

	void markQueued(long now) {
		this.queuedAt = now;
	}

	/**
	 * Records the answer, to be given again to a later attempt at the operation.
	 * @param answer the whole answer
	 */
	public void recordResponse(RecordedAnswer answer) {
		this.answer = Optional.of(answer);
	}

	boolean isKnownNotRun() {
		return this.knownNotRun && !this.mayHaveRun;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	void claimGranted(Operations.Grant grant) {
		this.grant = grant;
		this.knownNotRun = true;
	}

	void markNotRun() {
		this.knownNotRun = true;
	}

	void markMayHaveRun() {
		this.mayHaveRun = true;
	}

	boolean isEnded() {
		return this.ended;
	}

	void end() {
		this.ended = true;
		if (this.mayHaveRun) {
			this.grant.end(this.answer);
		}
		else {
			this.grant.release();
		}
	}

}
