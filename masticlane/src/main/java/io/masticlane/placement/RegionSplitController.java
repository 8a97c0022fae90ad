package io.masticlane.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The regions that serve a service's objects for the callers of one region. Until there
 * is traffic, the parts follow the slots; then they follow the slots and the load of the
 * region's own servers in small steps, so that few requests change their region at once.
 * The gateways of a region keep near each other, as callers change between them. Neither
 * failing nor cold servers count here, since each gateway has its own view of them and
 * may change it at any moment.
 */
final class RegionSplitController {

	/**
	 * The load of the region's servers above which objects move out.
	 */
	private static final double HIGH_LOAD = 0.8;

	/**
	 * The load of the region's servers below which objects move back.
	 */
	private static final double LOW_LOAD = 0.55;

	/**
	 * The load below which there is too little traffic to learn from.
	 */
	private static final double IDLE_LOAD = 0.05;

	/**
	 * The part of the objects that the load of the region's servers moves in a second.
	 */
	private static final double LEARNT_PER_SECOND = 0.01;

	/**
	 * The part of an average region's slots that a region needs for its own objects.
	 */
	private static final double OWN_NEED = 0.9;

	private final String region;

	private RegionSplit division;

	private double slotsPart;

	/**
	 * What is left to move after the region's part of the slots changed.
	 */
	private double pending;

	private boolean settled;

	private long updatedAt;

	RegionSplitController(String region) {
		this.region = region;
		this.division = RegionSplit.allLocal(region);
	}

	/**
	 * Updates the shares.
	 * @param loads the load of each region's servers that are in service, at least one
	 * @param others the parts that other gateways of the region believe it to serve
	 * @param now the present in nanoseconds
	 */
	void update(Map<String, RegionLoad> loads, List<Double> others, long now) {
		double seconds = (now - this.updatedAt) / (double) TimeUnit.SECONDS.toNanos(1);
		this.updatedAt = now;
		double slots = loads.values().stream().mapToDouble(RegionLoad::slots).sum();
		RegionLoad local = loads.getOrDefault(this.region, RegionLoad.none());
		double formerPart = this.slotsPart;
		this.slotsPart = Math.min(1, loads.size() * local.slots() / Math.max(1, slots));
		RegionSplit bySlots = new RegionSplit(this.region, this.slotsPart, spare(loads, slots / loads.size()));
		boolean idle = loads.values().stream().noneMatch((each) -> each.utilization() > IDLE_LOAD);
		double mean = others.stream().mapToDouble(Double::doubleValue).average().orElse(this.slotsPart);
		if (!this.settled) {
			this.division = bySlots.withLocalFraction(mean);
			this.settled = !idle || !others.isEmpty();
			return;
		}
		this.pending += this.slotsPart - formerPart;
		double apart = (mean - localFraction()) * others.size() / (others.size() + 1);
		double next = localFraction() + change(local.utilization(), idle, seconds) + (others.isEmpty() ? 0 : apart);
		this.division = this.division.stepTowards(bySlots.withLocalFraction(Math.max(0, Math.min(1, next))), seconds);
	}

	/**
	 * Returns how the objects are divided among the regions.
	 * @return the division
	 */
	RegionSplit split() {
		return this.division;
	}

	/**
	 * Returns the part of the objects that the region serves itself.
	 * @return the part from 0 to 1
	 */
	double localFraction() {
		return this.division.localFraction();
	}

	/**
	 * Returns whether the shares move in small steps, as there was traffic.
	 * @return whether the shares move in small steps
	 */
	boolean isInitialized() {
		return this.settled;
	}

	private double change(double load, boolean idle, double seconds) {
		if (this.pending != 0) {
			double change = RegionSplit.limitChange(this.pending, seconds);
			this.pending -= change;
			return change;
		}
		double step = LEARNT_PER_SECOND * seconds;
		if (load > HIGH_LOAD) {
			return -step;
		}
		return (load < LOW_LOAD && !idle) ? step : 0;
	}

	private Map<String, Double> spare(Map<String, RegionLoad> loads, double even) {
		Map<String, Double> spare = new HashMap<>();
		loads.forEach((name, load) -> {
			if (!name.equals(this.region)) {
				spare.put(name, Math.max(1, load.slots() - even * OWN_NEED));
			}
		});
		double sum = spare.values().stream().mapToDouble(Double::doubleValue).sum();
		spare.replaceAll((name, slots) -> slots / sum);
		return spare;
	}

}
