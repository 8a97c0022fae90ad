package io.masticlane.plan;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class TrafficPlanTests {

	private final TrafficPlan plan = new TrafficPlan(7, Map.of("Shop.Example", List.of(route("/a/"), route("/a/b/"))),
			List.of(new OrganisationPlan("north", Set.of("k1", "k2"), OptionalInt.empty(), 10, 5, Set.of())), List.of(),
			CallerLimits.DEFAULT);

	@Test
	public void theRouteWithTheLongestMatchingPrefixIsReturned() {
		assertEquals(this.plan.route("shop.example:80", "/a/b/c").orElseThrow().prefix(), "/a/b/");
		assertEquals(this.plan.route("shop.example", "/a/x").orElseThrow().prefix(), "/a/");
	}

	@Test
	public void anUnknownHostOrPathHasNoRoute() {
		assertTrue(this.plan.route("other.example", "/a/").isEmpty());
		assertTrue(this.plan.route("shop.example", "/ab").isEmpty());
	}

	@Test
	public void anOrganisationIsFoundByEachOfItsKeys() {
		assertEquals(this.plan.organisationByKey("k2").orElseThrow().name(), "north");
		assertTrue(this.plan.organisationByKey("k3").isEmpty());
	}

	private static PathRoute route(String prefix) {
		return new PathRoute(prefix, prefix, RouteKind.IDEMPOTENT, 1_000, 500, 0,
				List.of(new PathRoute.WeightedService("s", 1)), 2, false, true, Set.of());
	}

}
