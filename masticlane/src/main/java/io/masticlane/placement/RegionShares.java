package io.masticlane.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * The regions that serve a service's objects for the callers of one region. Until there
 * is traffic, the parts follow the slots; then they follow the slots and the load of the
 * region's own servers in small steps, so that few requests change their region at once.
 * Neither failing nor cold servers count here, since each gateway has its own view of
 * them and may change it at any moment.
 */
final class RegionShares {

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
	 * The part of the objects that moves between the region and the others in a second,
	 * and the part of the others' objects that moves among them. Requests that change
	 * their region in two seconds stay far below the cap on shifts.
	 */
	private static final double STEP_PER_SECOND = 0.02;

	/**
	 * How much more than its even part of the demand a region is first given.
	 */
	private static final double INITIAL_HEADROOM = 1.3;

	/**
	 * The part of an average region's slots that a region needs for its own objects.
	 */
	private static final double OWN_NEED = 0.9;

	private static final double SMALLEST_WEIGHT = 1e-6;

	private final String region;

	private double own = -1;

	private double slotsPart;

	/**
	 * What is left to move after the region's part of the slots changed.
	 */
	private double pending;

	private Map<String, Double> others = Map.of();

	private boolean settled;

	private long updatedAt;

	RegionShares(String region) {
		this.region = region;
	}

	/**
	 * Updates the shares.
	 * @param loads the load of each region's servers that are in service
	 * @param now the present in nanoseconds
	 */
	void update(Map<String, RegionLoad> loads, long now) {
		double step = STEP_PER_SECOND * (now - this.updatedAt) / TimeUnit.SECONDS.toNanos(1);
		this.updatedAt = now;
		double slots = loads.values().stream().mapToDouble(RegionLoad::slots).sum();
		RegionLoad local = loads.getOrDefault(this.region, RegionLoad.none());
		double formerPart = this.slotsPart;
		this.slotsPart = Math.min(1, INITIAL_HEADROOM * loads.size() * local.slots() / Math.max(1, slots));
		Map<String, Double> spare = spare(loads, slots / Math.max(1, loads.size()));
		if (!this.settled) {
			this.own = this.slotsPart;
			this.others = spare;
			this.settled = loads.values().stream().anyMatch((each) -> each.ratio() > IDLE_LOAD);
			return;
		}
		this.pending += this.slotsPart - formerPart;
		moveOwn(local.ratio(), step);
		this.others = between(this.others, spare, step);
	}

	/**
	 * Returns the region that serves an object.
	 * @param object the hash of the object
	 * @param available the regions that have servers for it, at least one
	 * @return the name of the region
	 */
	String regionOf(long object, Set<String> available) {
		if (available.contains(this.region) && (available.size() == 1 || servesItself(object))) {
			return this.region;
		}
		return available.stream()
			.filter((name) -> available.size() == 1 || !name.equals(this.region))
			.max(Comparator.comparingDouble((name) -> Rendezvous.score(object, Rendezvous.hash(name),
					Math.max(SMALLEST_WEIGHT, this.others.getOrDefault(name, 0.0)))))
			.orElseThrow();
	}

	/**
	 * Returns whether the region serves an object itself.
	 * @param object the hash of the object
	 * @return whether the region serves the object itself
	 */
	boolean servesItself(long object) {
		return this.own < 0 || Rendezvous.fraction(object ^ 0x5bd1e995L) < this.own;
	}

	/**
	 * Returns the part of the objects that the region serves itself.
	 * @return the part from 0 to 1
	 */
	double own() {
		return Math.max(0, this.own);
	}

	/**
	 * Returns how the objects that the region does not serve itself are divided.
	 * @return the parts of the other regions, which add up to one
	 */
	Map<String, Double> others() {
		return this.others;
	}

	private void moveOwn(double load, double step) {
		double change = 0;
		if (this.pending != 0) {
			change = Math.max(-step, Math.min(step, this.pending));
			this.pending -= change;
		}
		else if (load > HIGH_LOAD) {
			change = -step;
		}
		else if (load < LOW_LOAD && load > IDLE_LOAD) {
			change = step;
		}
		this.own = Math.max(0, Math.min(1, this.own + change));
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
		return Map.copyOf(spare);
	}

	private static Map<String, Double> between(Map<String, Double> from, Map<String, Double> to, double step) {
		Set<String> names = new TreeSet<>(from.keySet());
		names.addAll(to.keySet());
		double distance = names.stream()
			.mapToDouble((name) -> Math.max(0, to.getOrDefault(name, 0.0) - from.getOrDefault(name, 0.0)))
			.sum();
		if (distance <= step) {
			return to;
		}
		Map<String, Double> moved = new HashMap<>();
		names.forEach((name) -> {
			double former = from.getOrDefault(name, 0.0);
			moved.put(name, former + (to.getOrDefault(name, 0.0) - former) * step / distance);
		});
		return Map.copyOf(moved);
	}

}
