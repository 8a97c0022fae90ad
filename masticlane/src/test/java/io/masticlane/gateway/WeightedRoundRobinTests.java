package io.masticlane.gateway;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import io.masticlane.plan.PathRoute;
import io.masticlane.plan.RouteKind;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class WeightedRoundRobinTests {

	@Test
	public void requestsAreDistributedInProportionToTheWeights() {
		WeightedRoundRobin roundRobin = new WeightedRoundRobin();
		PathRoute route = route(90, 10);
		assertEquals(IntStream.range(0, 100).filter((request) -> roundRobin.nextService(route).equals("b")).count(),
				10);
	}

	@Test
	public void newWeightsTakeEffectImmediately() {
		WeightedRoundRobin roundRobin = new WeightedRoundRobin();
		IntStream.range(0, 50).forEach((request) -> roundRobin.nextService(route(90, 10)));
		assertEquals(
				IntStream.range(0, 100).filter((request) -> roundRobin.nextService(route(50, 50)).equals("b")).count(),
				50, 1);
	}

	private static PathRoute route(double first, double second) {
		return new PathRoute("r", "/r/", RouteKind.IDEMPOTENT, 0, 500, 0,
				List.of(new PathRoute.WeightedService("a", first), new PathRoute.WeightedService("b", second)), 2, true,
				true, Set.of());
	}

}
