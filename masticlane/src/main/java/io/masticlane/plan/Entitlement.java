package io.masticlane.plan;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What a route and the organisation of a caller allow together.
 *
 * @param route the route
 * @param organisation the organisation, or nothing if the route is open
 */
public record Entitlement(PathRoute route, Optional<OrganisationPlan> organisation) {

	private static final Set<String> NO_REGION = Set.of("-");

	/**
	 * Returns the regions that may serve the request. Where the route and the
	 * organisation name regions without a common one, none may.
	 * @return the regions, or nothing if all may
	 */
	public Set<String> allowedRegions() {
		Set<String> own = this.organisation.map(OrganisationPlan::allowedRegions).orElse(Set.of());
		if (this.route.allowedRegions().isEmpty() || own.isEmpty()) {
			return own.isEmpty() ? this.route.allowedRegions() : own;
		}
		Set<String> common = this.route.allowedRegions().stream().filter(own::contains).collect(Collectors.toSet());
		return common.isEmpty() ? NO_REGION : common;
	}

	/**
	 * Returns the priority, which an organisation may set for all of its requests.
	 * @return the priority
	 */
	public int priority() {
		return this.organisation.flatMap((each) -> each.priority().stream().boxed().findFirst())
			.orElse(this.route.priority());
	}

}
