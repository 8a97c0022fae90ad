package io.masticlane.plan;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The rights of a request that follow from its route and the organisation of its caller.
 *
 * @param route the route
 * @param organisation the organisation, or empty if the route is open
 */
public record Entitlement(PathRoute route, Optional<OrganisationPlan> organisation) {

	private static final Set<String> NO_REGION = Set.of("-");

	/**
	 * Returns the regions that may serve the request. If the route and the organisation
	 * both restrict the regions and have none in common, the result contains no actual
	 * region.
	 * @return the regions, or an empty set if all may
	 */
	public Set<String> allowedRegions() {
		Set<String> ofOrganisation = this.organisation.map(OrganisationPlan::allowedRegions).orElse(Set.of());
		if (this.route.allowedRegions().isEmpty() || ofOrganisation.isEmpty()) {
			return ofOrganisation.isEmpty() ? this.route.allowedRegions() : ofOrganisation;
		}
		Set<String> common = this.route.allowedRegions()
			.stream()
			.filter(ofOrganisation::contains)
			.collect(Collectors.toSet());
		return common.isEmpty() ? NO_REGION : common;
	}

	/**
	 * Returns the priority of the request; that of the organisation overrides that of the
	 * route.
	 * @return the priority
	 */
	public int priority() {
		return this.organisation.flatMap((plan) -> plan.priority().stream().boxed().findFirst())
			.orElse(this.route.priority());
	}

}
