package io.masticlane.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * The division of a route's objects among regions. Once the split of one of its services
 * is initialized, it follows the splits of the services that the route's requests are
 * sent to in small steps, so that a route whose service changes moves its objects between
 * regions gradually.
 */
final class RouteRegionSplit {

	private final List<RegionSplit> usedSplits = new ArrayList<>();

	private RegionSplit current;

	private boolean initialized;

	private long lastUsedAt;

	/**
	 * Returns the split for a request.
	 * @param controller the split controller of the request's service
	 * @param now the current time in nanoseconds
	 * @return the split
	 */
	RegionSplit splitFor(RegionSplitController controller, long now) {
		this.lastUsedAt = now;
		if (!this.initialized) {
			this.current = controller.split();
			this.initialized = controller.isInitialized();
		}
		this.usedSplits.add(controller.split());
		return this.current;
	}

	/**
	 * Moves the split towards the mean of the splits used since the previous update.
	 * @param seconds the time since the previous update in seconds
	 */
	void update(double seconds) {
		if (!this.usedSplits.isEmpty()) {
			this.current = this.current.stepTowards(RegionSplit.mean(this.usedSplits), seconds);
			this.usedSplits.clear();
		}
	}

	/**
	 * Returns the time of the last request.
	 * @return the time in nanoseconds
	 */
	long lastUsedAt() {
		return this.lastUsedAt;
	}

}
