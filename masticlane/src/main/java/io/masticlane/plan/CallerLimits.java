package io.masticlane.plan;

/**
 * The size limits and timeouts for requests of callers.
 *
 * @param maximumHeadBytes the maximum size of the head of a request
 * @param maximumBodyBytes the maximum size of the body of a request
 * @param headTimeoutMillis the maximum time for receiving a head
 * @param idleTimeoutMillis the maximum idle time between requests on a connection
 */
public record CallerLimits(int maximumHeadBytes, int maximumBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {

	/**
	 * The limits until the first plan is received.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 1024 * 1024, 5_000, 15_000);

}
