package io.masticlane.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * How objects are divided among regions for the callers of one region.
 *
 * @param region the region of the callers
 * @param localFraction the part of the objects that the region serves itself, from 0 to 1
 * @param others how the rest is divided among the other regions, in parts of one
 */
record RegionSplit(String region, double localFraction, Map<String, Double> others) {

	/**
	 * The part of the objects that moves between the region and the others in a second.
	 * Together with the next, requests that change their region in two seconds stay below
	 * the cap on shifts of 15%.
	 */
	private static final double OWN_PER_SECOND = 0.02;

	/**
	 * The part of the others' objects that moves among them in a second.
	 */
	private static final double OTHERS_PER_SECOND = 0.03;

	/**
	 * The longest time that one step makes up for, in seconds, as a process may have
	 * stood still.
	 */
	private static final double LONGEST_STEP_SECONDS = 0.5;

	/**
	 * The part of the objects whose requests are divided between two regions, so that an
	 * object with many requests does not change its region at once.
	 */
	private static final double DIVIDED_PART = 0.1;

	private static final long OWN_SALT = 0x5bd1e995L;

	private static final double SMALLEST_WEIGHT = 1e-6;

	RegionSplit {
		others = Map.copyOf(others);
	}

	/**
	 * Returns a division by which a region serves every object itself.
	 * @param region the region
	 * @return the division
	 */
	static RegionSplit allLocal(String region) {
		return new RegionSplit(region, 1, Map.of());
	}

	/**
	 * Returns the mean of divisions for the callers of the same region.
	 * @param divisions the divisions, at least one
	 * @return their mean
	 */
	static RegionSplit mean(Collection<RegionSplit> divisions) {
		Map<String, Double> others = new HashMap<>();
		divisions.forEach((each) -> each.others.forEach((name, part) -> others.merge(name, part, Double::sum)));
		double sum = others.values().stream().mapToDouble(Double::doubleValue).sum();
		others.replaceAll((name, part) -> part / sum);
		return new RegionSplit(divisions.iterator().next().region,
				divisions.stream().mapToDouble(RegionSplit::localFraction).average().orElse(1), others);
	}

	/**
	 * Returns the region that serves a request.
	 * @param object the hash of the request's object
	 * @param draw a hash that differs for each request
	 * @param available the regions that have servers for it, at least one
	 * @return the name of the region
	 */
	String regionOf(long object, long draw, Set<String> available) {
		if (available.contains(this.region) && (available.size() == 1 || isServedLocally(object, draw))) {
			return this.region;
		}
		return available.stream()
			.filter((name) -> available.size() == 1 || !name.equals(this.region))
			.max(Comparator.comparingDouble((name) -> score(object, draw, name)))
			.orElseThrow();
	}

	/**
	 * Returns whether the region serves a request itself.
	 * @param object the hash of the request's object
	 * @param draw a hash that differs for each request
	 * @return whether the region serves the request itself
	 */
	boolean isServedLocally(long object, long draw) {
		double place = Rendezvous.fraction(object ^ OWN_SALT);
		return place + DIVIDED_PART * (Rendezvous.fraction(draw) - place) < this.localFraction;
	}

	/**
	 * Returns this division moved towards another one, as far as the cap on shifts lets
	 * it move in a time.
	 * @param target the other division
	 * @param seconds the time
	 * @return the division between both, or the other one if it is that near
	 */
	RegionSplit stepTowards(RegionSplit target, double seconds) {
		return new RegionSplit(this.region,
				this.localFraction + limitChange(target.localFraction - this.localFraction, seconds),
				between(this.others, target.others, OTHERS_PER_SECOND * Math.min(LONGEST_STEP_SECONDS, seconds)));
	}

	/**
	 * Returns a change of the region's own part, as far as it may go in a time.
	 * @param change the change that is due
	 * @param seconds the time
	 * @return the change that may be made
	 */
	static double limitChange(double change, double seconds) {
		double step = OWN_PER_SECOND * Math.min(LONGEST_STEP_SECONDS, seconds);
		return Math.max(-step, Math.min(step, change));
	}

	/**
	 * Returns this division with another part for the region itself.
	 * @param part the part from 0 to 1
	 * @return the division with that part
	 */
	RegionSplit withLocalFraction(double part) {
		return new RegionSplit(this.region, part, this.others);
	}

	private double score(long object, long draw, String name) {
		long node = Rendezvous.hash(name);
		double weight = Math.max(SMALLEST_WEIGHT, this.others.getOrDefault(name, 0.0));
		return Rendezvous.score(object, node, weight * (1 + DIVIDED_PART * Rendezvous.fraction(draw ^ node)));
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
		return names.stream().collect(Collectors.toMap((name) -> name, (name) -> {
			double former = from.getOrDefault(name, 0.0);
			return former + (to.getOrDefault(name, 0.0) - former) * step / distance;
		}));
	}

}
