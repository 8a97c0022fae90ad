package io.masticlane.fleet;

/**
 * Decides when a gateway queries another one for a newer plan. The store usually delivers
 * it first. Gateways that the store turns away together report the same old plan to each
 * other, so that such a report must not end the wait.
 */
public final class OutdatedPlan {

	private final long delayNanos;

	private boolean outdated;

	private long ownVersion;

	private long since;

	/**
	 * Creates a new instance.
	 * @param delayNanos how long to wait for the store, and between queries, in
	 * nanoseconds
	 */
	public OutdatedPlan(long delayNanos) {
		this.delayNanos = delayNanos;
	}

	/**
	 * Handles the version of the plan in a report.
	 * @param own the version of the own plan
	 * @param reported the version of the sender's plan
	 * @param now the current time in nanoseconds
	 * @return whether to query the sender
	 */
	public boolean isQueryDue(long own, long reported, long now) {
		if (own != this.ownVersion) {
			this.ownVersion = own;
			this.outdated = false;
		}
		if (reported <= own) {
			return false;
		}
		if (!this.outdated) {
			this.outdated = true;
			this.since = now;
			return false;
		}
		if (now - this.since <= this.delayNanos) {
			return false;
		}
		this.since = now;
		return true;
	}

}
