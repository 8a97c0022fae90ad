package io.masticlane.gateway;

import io.masticlane.fleet.GatewayFleet;

/**
 * How recent the view of a gateway is. A gateway that is disconnected continues with its
 * last view; decisions that are wrong with an old one depend on this class.
 */
final class ViewFreshness {

	/**
	 * How long after the store became overdue the entries of servers count as outdated:
	 * the time for a first health check of each server.
	 */
	private static final long FIRST_CHECK_MILLIS = 500;

	private final StoreFollower store;

	private final Registration registration;

	private final GatewayFleet fleet;

	ViewFreshness(StoreFollower store, Registration registration, GatewayFleet fleet) {
		this.store = store;
		this.registration = registration;
		this.fleet = fleet;
	}

	/**
	 * Returns the time since the last response of the store.
	 * @return the time in milliseconds
	 */
	long storeAgeMillis() {
		return this.store.ageMillis();
	}

	/**
	 * Returns whether the store has not responded for longer than a pause and a read.
	 * @return whether a response is overdue
	 */
	boolean isStoreOverdue() {
		return this.store.overdueMillis() > 0;
	}

	/**
	 * Returns whether the entries of backend servers may be outdated, so that a server's
	 * own responses go before its entry.
	 * @return whether the entries may be outdated
	 */
	boolean areServersOutdated() {
		return this.store.overdueMillis() > FIRST_CHECK_MILLIS;
	}

	/**
	 * Returns whether the other gateways still reserve the share of this one.
	 * @param now the current time in nanoseconds
	 * @return whether this gateway may use its share
	 */
	boolean retainsShare(long now) {
		return this.fleet.retainsShare(this.registration.nanosSinceRenewal(), now);
	}

}
