package io.masticlane.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The division of objects among regions for the callers of one region.
 *
 * @param region the region of the callers
 * @param localFraction the fraction of the objects that the region serves itself, from 0
 * to 1
 * @param others the fraction of the remaining objects that each other region serves,
 * adding up to 1
 */
record RegionSplit(String region, double localFraction, Map<String, Double> others) {

	/**
	 * The maximum fraction of the objects that moves between the region and the others
	 * per second. With {@link #MAXIMUM_REMOTE_CHANGE_PER_SECOND}, the requests that
	 * change region within two seconds stay below the cap on shifts of 15%.
	 */
	private static final double MAXIMUM_LOCAL_CHANGE_PER_SECOND = 0.02;

	/**
	 * The maximum fraction of the objects of the other regions that moves among these per
	 * second. With {@link #MAXIMUM_LOCAL_CHANGE_PER_SECOND}, it keeps shifts below the
	 * cap of 15%.
	 */
	private static final double MAXIMUM_REMOTE_CHANGE_PER_SECOND = 0.03;

	/**
	 * The maximum period that one step covers, as a process may have been paused.
	 */
	private static final double MAXIMUM_STEP_SECONDS = 0.5;

	/**
	 * The fraction of the objects whose requests are divided between two regions, so that
	 * an object with many requests moves gradually.
	 */
	private static final double DIVIDED_FRACTION = 0.1;

	private static final long LOCAL_SALT = 0x5bd1e995L;

	private static final double MINIMUM_WEIGHT = 1e-6;

	RegionSplit {
		others = Map.copyOf(others);
	}

	/**
	 * Returns a split in which a region serves every object itself.
	 * @param region the name of the region
	 * @return the split
	 */
	static RegionSplit allLocal(String region) {
		return new RegionSplit(region, 1, Map.of());
	}

	/**
	 * Returns the mean of splits for the callers of the same region.
	 * @param splits the splits, at least one
	 * @return the mean split
	 */
	static RegionSplit mean(Collection<RegionSplit> splits) {
		Map<String, Double> others = new HashMap<>();
		splits.forEach((each) -> each.others.forEach((name, fraction) -> others.merge(name, fraction, Double::sum)));
		double sum = others.values().stream().mapToDouble(Double::doubleValue).sum();
		others.replaceAll((name, fraction) -> fraction / sum);
		return new RegionSplit(splits.iterator().next().region,
				splits.stream().mapToDouble(RegionSplit::localFraction).average().orElse(1), others);
	}

	/**
	 * Returns the region that serves a request.
	 * @param object the hash of the request's object
	 * @param requestHash the hash of the request, different for each request
	 * @param available the regions that have servers for the request, at least one
	 * @return the name of the region
	 */
	String regionOf(long object, long requestHash, Set<String> available) {
		if (available.contains(this.region) && (available.size() == 1 || isServedLocally(object, requestHash))) {
			return this.region;
		}
		return available.stream()
			.filter((name) -> available.size() == 1 || !name.equals(this.region))
			.max(Comparator.comparingDouble((name) -> score(object, requestHash, name)))
			.orElseThrow();
	}

	/**
	 * Returns whether the region serves a request itself.
	 * @param object the hash of the request's object
	 * @param requestHash the hash of the request, different for each request
	 * @return whether the region serves the request itself
	 */
	boolean isServedLocally(long object, long requestHash) {
		double position = Rendezvous.fraction(object ^ LOCAL_SALT);
		return position + DIVIDED_FRACTION * (Rendezvous.fraction(requestHash) - position) < this.localFraction;
	}

	/**
	 * Returns this split moved towards a target, as far as the cap on shifts permits
	 * within a period.
	 * @param target the target split
	 * @param seconds the period in seconds
	 * @return a split between this one and the target, or the target's values where they
	 * are within reach
	 */
	RegionSplit stepTowards(RegionSplit target, double seconds) {
		return new RegionSplit(this.region,
				this.localFraction + limitChange(target.localFraction - this.localFraction, seconds),
				stepBetween(this.others, target.others,
						MAXIMUM_REMOTE_CHANGE_PER_SECOND * Math.min(MAXIMUM_STEP_SECONDS, seconds)));
	}

	/**
	 * Limits a change of the local fraction to what the cap on shifts permits within a
	 * period.
	 * @param change the intended change
	 * @param seconds the period in seconds
	 * @return the permitted change
	 */
	static double limitChange(double change, double seconds) {
		double step = MAXIMUM_LOCAL_CHANGE_PER_SECOND * Math.min(MAXIMUM_STEP_SECONDS, seconds);
		return Math.max(-step, Math.min(step, change));
	}

	/**
	 * Returns this split with another local fraction.
	 * @param fraction the fraction of the objects that the region serves itself, from 0
	 * to 1
	 * @return the split with that fraction
	 */
	RegionSplit withLocalFraction(double fraction) {
		return new RegionSplit(this.region, fraction, this.others);
	}

	private double score(long object, long requestHash, String name) {
		long node = Rendezvous.hash(name);
		double weight = Math.max(MINIMUM_WEIGHT, this.others.getOrDefault(name, 0.0));
		return Rendezvous.score(object, node,
				weight * (1 + DIVIDED_FRACTION * Rendezvous.fraction(requestHash ^ node)));
	}

	private static Map<String, Double> stepBetween(Map<String, Double> from, Map<String, Double> to, double step) {
		Set<String> names = new TreeSet<>(from.keySet());
		names.addAll(to.keySet());
		double distance = names.stream()
			.mapToDouble((name) -> Math.max(0, to.getOrDefault(name, 0.0) - from.getOrDefault(name, 0.0)))
			.sum();
		if (distance <= step) {
			return to;
		}
		return names.stream().collect(Collectors.toMap((name) -> name, (name) -> {
			double current = from.getOrDefault(name, 0.0);
			return current + (to.getOrDefault(name, 0.0) - current) * step / distance;
		}));
	}

}
