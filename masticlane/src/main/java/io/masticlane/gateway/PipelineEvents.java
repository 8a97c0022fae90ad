package io.masticlane.gateway;

import java.net.SocketAddress;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;

/**
 * Counts and logs what becomes of requests that callers send before the response to an
 * earlier one.
 */
final class PipelineEvents {

	private final GatewayMetrics metrics;

	private final EventLog log;

	PipelineEvents(GatewayMetrics metrics, EventLog log) {
		this.metrics = metrics;
		this.log = log;
	}

	void startedConcurrently() {
		this.metrics.pipelinedRequests("concurrent", 1);
	}

	void waited() {
		this.metrics.pipelinedRequests("waited", 1);
	}

	/**
	 * Reports the requests that stay without a response since the connection is closed
	 * after an earlier one.
	 * @param caller the address of the caller
	 * @param tooMany whether the caller exceeded the limit of pipelined requests
	 * @param cancelled the number of requests that were started
	 * @param notStarted the number of requests that were not started, as far as they were
	 * read
	 */
	void dropped(SocketAddress caller, boolean tooMany, int cancelled, int notStarted) {
		this.metrics.pipelinedRequests("cancelled", cancelled);
		this.metrics.pipelinedRequests("not_started", notStarted);
		this.log.record(Event.PIPELINED_REQUESTS_DROPPED, caller, tooMany ? "too_many" : "closed", cancelled,
				notStarted, RequestSequence.MAXIMUM_WAITING_REQUESTS);
	}

}
