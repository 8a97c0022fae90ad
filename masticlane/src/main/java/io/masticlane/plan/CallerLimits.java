package io.masticlane.plan;

/**
 * What callers may send and how long they may take.
 *
 * @param headBytes the largest head of a request
 * @param bodyBytes the largest body of a request
 * @param headMillis the longest time for sending a head
 * @param idleMillis the longest time between requests on a connection
 */
public record CallerLimits(int headBytes, int bodyBytes, long headMillis, long idleMillis) {

	/**
	 * The limits while no plan is in force.
	 */
	public static final CallerLimits UNPLANNED = new CallerLimits(16 * 1024, 1024 * 1024, 5_000, 15_000);

}
