package io.masticlane.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.masticlane.plan.PathRoute;

/**
 * Distributes the requests of each route over its services by smooth weighted round
 * robin.
 */
final class WeightedRoundRobin {

	private final Map<String, Map<String, Double>> credits = new HashMap<>();

	String nextService(PathRoute route) {
		List<PathRoute.WeightedService> targets = route.targets();
		if (targets.size() == 1) {
			return targets.get(0).service();
		}
		Map<String, Double> credit = this.credits.computeIfAbsent(route.name(), (name) -> new HashMap<>());
		credit.keySet().retainAll(targets.stream().map(PathRoute.WeightedService::service).toList());
		double total = targets.stream().mapToDouble(PathRoute.WeightedService::weight).sum();
		targets.forEach((target) -> credit.merge(target.service(), target.weight() / total, Double::sum));
		String selected = targets.get(0).service();
		for (PathRoute.WeightedService target : targets) {
			if (credit.get(target.service()) > credit.get(selected)) {
				selected = target.service();
			}
		}
		credit.merge(selected, -1.0, Double::sum);
		return selected;
	}

}
