package io.masticlane.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Divides the fraction of the demanded work that is admitted over the kinds of requests.
 */
final class KindFractions {

	/**
	 * The fraction of a kind's requests that is admitted in any case, relative to that of
	 * all. No kind and no organisation may be served less than a quarter as often as all;
	 * the margin is for requests that are rejected later because of their own server's
	 * queue.
	 */
	static final double FLOOR = 0.35;

	private KindFractions() {
	}

	/**
	 * Returns the level at which the requests of the most urgent priority are admitted in
	 * full and all others get the floor alone.
	 * @param floor the fraction that each kind receives
	 * @param inOrder the kinds in the order in which they are admitted
	 * @return the level, 1 if all have the same priority
	 */
	static double levelForMostUrgent(double floor, List<Demand.KindDemand> inOrder) {
		int priority = inOrder.get(0).kind().priority();
		double urgent = workMillis(inOrder.stream().filter((each) -> each.kind().priority() == priority));
		return floor + (1 - floor) * urgent / Math.max(1, workMillis(inOrder.stream()));
	}

	/**
	 * Divides the admitted fraction. Each kind receives the floor; what remains admits a
	 * kind in full before the next one receives any of it.
	 * @param level the fraction of all work that is admitted, from 0 to 1
	 * @param floor the fraction that each kind receives, up to the level
	 * @param inOrder the kinds in the order in which they are admitted
	 * @return the fraction of each kind's requests that is admitted, which never
	 * increases along the order
	 */
	static Map<Arrival.Kind, Double> divide(double level, double floor, List<Demand.KindDemand> inOrder) {
		double remaining = (level - floor) * workMillis(inOrder.stream());
		Map<Arrival.Kind, Double> fractions = new HashMap<>();
		for (Demand.KindDemand each : inOrder) {
			double granted = Math.min(remaining, (1 - floor) * each.workMillis());
			remaining -= granted;
			fractions.put(each.kind(), floor + ((each.workMillis() > 0) ? granted / each.workMillis() : 0));
		}
		return fractions;
	}

	private static double workMillis(Stream<Demand.KindDemand> kinds) {
		return kinds.mapToDouble(Demand.KindDemand::workMillis).sum();
	}

}
