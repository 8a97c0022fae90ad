package io.masticlane.steering;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.masticlane.configuration.BackendServer;
import io.masticlane.operation.Operations;
import io.masticlane.operation.RecordedResponse;

/**
 * The state of a request between arrival and completion. Confined to the decisions
 * thread.
 */
public final class InFlightRequest {

	private final IncomingRequest incoming;

	private final Set<String> triedServers = new HashSet<>();

	private BackendServer server;

	private long queuedAt;

	private int attempts;

	private boolean retryReserved;

	private Operations.Grant grant = Operations.Grant.NoOp.INSTANCE;

	private Optional<RecordedResponse> response = Optional.empty();

	private boolean knownNotRun;

	private boolean mayHaveRun;

	private boolean ended;

	InFlightRequest(IncomingRequest incoming) {
		this.incoming = incoming;
	}

	IncomingRequest incoming() {
		return this.incoming;
	}

	Set<String> triedServers() {
		return this.triedServers;
	}

	/**
	 * Returns the backend server of the current attempt.
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
		this.triedServers.add(server.name());
	}

	void unassign() {
		this.server = null;
	}

	/**
	 * Returns whether a retry was acquired from the budget in advance of the current
	 * attempt.
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
	 * Records the response so that it can be replayed to a later attempt at the
	 * operation.
	 * @param response the complete response
	 */
	public void recordResponse(RecordedResponse response) {
		this.response = Optional.of(response);
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
			this.grant.end(this.response);
		}
		else {
			this.grant.release();
		}
	}

}
