package io.masticlane.plan;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

public class EntitlementTests {

	@Test
	public void theRegionsOfEitherRouteOrOrganisationApply() {
		assertEquals(allowedRegions(Set.of(), Set.of()), Set.of());
		assertEquals(allowedRegions(Set.of("west"), Set.of()), Set.of("west"));
		assertEquals(allowedRegions(Set.of(), Set.of("east")), Set.of("east"));
	}

	@Test
	public void onlyCommonRegionsApplyIfBothRestrictThem() {
		assertEquals(allowedRegions(Set.of("west", "east"), Set.of("east", "north")), Set.of("east"));
	}

	@Test
	public void noRegionIsAllowedWithoutACommonOne() {
		Set<String> allowedRegions = allowedRegions(Set.of("west"), Set.of("east"));
		assertFalse(allowedRegions.isEmpty());
		assertFalse(allowedRegions.contains("west") || allowedRegions.contains("east"));
	}

	@Test
	public void thePriorityOfAnOrganisationOverridesThatOfTheRoute() {
		assertEquals(new Entitlement(route(Set.of()), Optional.empty()).priority(), 1);
		assertEquals(
				new Entitlement(route(Set.of()), Optional.of(organisation(Set.of(), OptionalInt.of(2)))).priority(), 2);
		assertEquals(
				new Entitlement(route(Set.of()), Optional.of(organisation(Set.of(), OptionalInt.empty()))).priority(),
				1);
	}

	private static Set<String> allowedRegions(Set<String> ofRoute, Set<String> ofOrganisation) {
		return new Entitlement(route(ofRoute), Optional.of(organisation(ofOrganisation, OptionalInt.empty())))
			.allowedRegions();
	}

	private static PathRoute route(Set<String> allowedRegions) {
		return new PathRoute("read", "/", RouteKind.IDEMPOTENT, 1_000, 500, 1,
				List.of(new PathRoute.WeightedService("desk", 1)), 1, false, false, allowedRegions);
	}

	private static OrganisationPlan organisation(Set<String> allowedRegions, OptionalInt priority) {
		return new OrganisationPlan("north", Set.of("k"), priority, 1, 1, allowedRegions);
	}

}
