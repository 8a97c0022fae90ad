package io.masticlane.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Adjusts how a service's objects are divided among regions for the callers of one
 * region. Until there is traffic, the split follows the slots; from then on it follows
 * the slots and the load of the region's own servers in small steps, so that few requests
 * change region at once. The splits of a region's gateways converge, as callers switch
 * between gateways. The failing or cold state of servers is not considered, since each
 * gateway has its own view of it, which may change at any moment.
 */
final class RegionSplitController {

	/**
	 * The utilization of the region's servers above which objects move to other regions.
	 */
	private static final double HIGH_UTILIZATION = 0.8;

	/**
	 * The utilization of the region's servers below which objects move back.
	 */
	private static final double LOW_UTILIZATION = 0.55;

	/**
	 * The utilization below which there is too little traffic to adjust the split by
	 * load.
	 */
	private static final double IDLE_UTILIZATION = 0.05;

	/**
	 * The fraction of the objects that is moved per second because of the load of the
	 * region's servers.
	 */
	private static final double LOAD_CHANGE_PER_SECOND = 0.01;

	/**
	 * The slots that a region needs for its own objects, as a fraction of the slots of an
	 * average region.
	 */
	private static final double LOCAL_NEED_FRACTION = 0.9;

	private final String region;

	private RegionSplit split;

	private double relativeSlots;

	/**
	 * The remaining change of the local fraction after the region's slots changed
	 * relative to those of an average region.
	 */
	private double pendingChange;

	private boolean initialized;

	private long updatedAt;

	RegionSplitController(String region) {
		this.region = region;
		this.split = RegionSplit.allLocal(region);
	}

	/**
	 * Updates the split.
	 * @param loads the load of each region's servers that are in service, at least one
	 * @param others the local fractions that other gateways of the region reported
	 * @param now the current time in nanoseconds
	 */
	void update(Map<String, RegionLoad> loads, List<Double> others, long now) {
		double seconds = (now - this.updatedAt) / (double) TimeUnit.SECONDS.toNanos(1);
		this.updatedAt = now;
		double slots = loads.values().stream().mapToDouble(RegionLoad::slots).sum();
		RegionLoad local = loads.getOrDefault(this.region, RegionLoad.none());
		double previousRelativeSlots = this.relativeSlots;
		this.relativeSlots = Math.min(1, loads.size() * local.slots() / Math.max(1, slots));
		RegionSplit bySlots = new RegionSplit(this.region, this.relativeSlots, spareSlots(loads, slots / loads.size()));
		boolean idle = loads.values().stream().noneMatch((each) -> each.utilization() > IDLE_UTILIZATION);
		double meanFraction = others.stream().mapToDouble(Double::doubleValue).average().orElse(this.relativeSlots);
		if (!this.initialized) {
			this.split = bySlots.withLocalFraction(meanFraction);
			this.initialized = !idle || !others.isEmpty();
			return;
		}
		this.pendingChange += this.relativeSlots - previousRelativeSlots;
		double convergence = (meanFraction - localFraction()) * others.size() / (others.size() + 1);
		double next = localFraction() + loadChange(local.utilization(), idle, seconds)
				+ (others.isEmpty() ? 0 : convergence);
		this.split = this.split.stepTowards(bySlots.withLocalFraction(Math.max(0, Math.min(1, next))), seconds);
	}

	/**
	 * Returns the current split of the objects among the regions.
	 * @return the split
	 */
	RegionSplit split() {
		return this.split;
	}

	/**
	 * Returns the fraction of the objects that the region serves itself.
	 * @return the fraction from 0 to 1
	 */
	double localFraction() {
		return this.split.localFraction();
	}

	/**
	 * Returns whether the split is initialized, after which it changes in small steps
	 * only. It is initialized once there is traffic or another gateway has reported its
	 * local fraction.
	 * @return whether the split is initialized
	 */
	boolean isInitialized() {
		return this.initialized;
	}

	private double loadChange(double utilization, boolean idle, double seconds) {
		if (this.pendingChange != 0) {
			double change = RegionSplit.limitChange(this.pendingChange, seconds);
			this.pendingChange -= change;
			return change;
		}
		double step = LOAD_CHANGE_PER_SECOND * seconds;
		if (utilization > HIGH_UTILIZATION) {
			return -step;
		}
		return (utilization < LOW_UTILIZATION && !idle) ? step : 0;
	}

	private Map<String, Double> spareSlots(Map<String, RegionLoad> loads, double averageSlots) {
		Map<String, Double> spareSlots = new HashMap<>();
		loads.forEach((name, load) -> {
			if (!name.equals(this.region)) {
				spareSlots.put(name, Math.max(1, load.slots() - averageSlots * LOCAL_NEED_FRACTION));
			}
		});
		double sum = spareSlots.values().stream().mapToDouble(Double::doubleValue).sum();
		spareSlots.replaceAll((name, slots) -> slots / sum);
		return spareSlots;
	}

}
