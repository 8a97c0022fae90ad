package io.masticlane.plan;

/**
 * What callers may send and how long they may take.
 *
 * @param maximumHeadBytes the largest head of a request
 * @param maximumBodyBytes the largest body of a request
 * @param headTimeoutMillis the longest time for sending a head
 * @param idleTimeoutMillis the longest time between requests on a connection
 */
public record CallerLimits(int maximumHeadBytes, int maximumBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {

	/**
	 * The limits while no plan is in force.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 1024 * 1024, 5_000, 15_000);

}
