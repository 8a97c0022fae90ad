package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

/**
 * The load that a server last reported, which includes the requests of other gateways.
 */
final class ReportedLoad {

	/**
	 * The age beyond which a reported load is ignored.
	 */
	private static final long REPORT_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * The requests for each slot of a saturated server: the running ones and as many in
	 * its queue.
	 */
	private static final int SATURATED_REQUESTS_PER_SLOT = 2;

	private int requests;

	private int inFlightAtReport;

	private long reportedAt;

	private boolean hasReport;

	private boolean saturated;

	/**
	 * Discards the report of a server that was restarted.
	 */
	void clear() {
		this.hasReport = false;
		this.saturated = false;
	}

	/**
	 * Records a report.
	 * @param reportedRequests the requests that the server is processing or has queued
	 * @param inFlight the requests of this gateway in flight to the server
	 * @param now the current time in nanoseconds
	 */
	void record(int reportedRequests, int inFlight, long now) {
		this.hasReport = true;
		this.saturated = false;
		this.requests = reportedRequests;
		this.inFlightAtReport = inFlight;
		this.reportedAt = now;
	}

	/**
	 * Records that no response was received in time. Without a recent report, the slots
	 * and the queue of the server are taken by requests of other gateways.
	 * @param now the current time in nanoseconds
	 */
	void recordTimeout(long now) {
		this.saturated |= !isRecent(now);
	}

	/**
	 * Estimates the number of requests that the server is processing or has queued for
	 * all gateways. A saturated server counts as full while one request is in flight,
	 * whose response would report the load: if each gateway counted its own requests
	 * only, together they would keep the server's queue longer than any request may wait.
	 * @param slots the slots of the server
	 * @param inFlight the requests of this gateway in flight to the server
	 * @param now the current time in nanoseconds
	 * @return the estimated number of requests
	 */
	int estimate(int slots, int inFlight, long now) {
		if (!isRecent(now)) {
			return (this.saturated && inFlight > 0) ? SATURATED_REQUESTS_PER_SLOT * slots : inFlight;
		}
		return Math.max(inFlight, this.requests + inFlight - this.inFlightAtReport);
	}

	/**
	 * Returns whether the last report is recent enough to count.
	 * @param now the current time in nanoseconds
	 * @return whether there is a recent report
	 */
	boolean isRecent(long now) {
		return this.hasReport && now - this.reportedAt <= REPORT_VALID_NANOS;
	}

}
