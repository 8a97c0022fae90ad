package io.masticlane.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * How the objects of a route are divided among regions. Once one of its services has
 * settled, it follows the services that the route's requests go to in small steps, so
 * that a route that changes its service changes its regions slowly.
 */
final class RouteRegionSplit {

	private final List<RegionSplit> used = new ArrayList<>();

	private RegionSplit present;

	private boolean settled;

	private long usedAt;

	/**
	 * Returns the division for a request.
	 * @param service the shares of the request's service
	 * @param now the present in nanoseconds
	 * @return the division
	 */
	RegionSplit splitFor(RegionSplitController service, long now) {
		this.usedAt = now;
		if (!this.settled) {
			this.present = service.split();
			this.settled = service.isInitialized();
		}
		this.used.add(service.split());
		return this.present;
	}

	/**
	 * Follows the services of the requests since the last time.
	 * @param seconds how long that is
	 */
	void update(double seconds) {
		if (!this.used.isEmpty()) {
			this.present = this.present.stepTowards(RegionSplit.mean(this.used), seconds);
			this.used.clear();
		}
	}

	/**
	 * Returns the time of the last request.
	 * @return the time in nanoseconds
	 */
	long lastUsedAt() {
		return this.usedAt;
	}

}
