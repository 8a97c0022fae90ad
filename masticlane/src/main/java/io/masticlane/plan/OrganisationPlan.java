package io.masticlane.plan;

import java.util.OptionalInt;
import java.util.Set;

/**
 * The limits and rights of an organisation.
 *
 * @param name the name of the organisation
 * @param keys the API keys of its callers
 * @param priority the priority of its requests, which overrides that of the route
 * @param ratePerSecond the rate limit over all entry hosts, or zero for no limit
 * @param burst the requests that may exceed the rate at once
 * @param allowedRegions the regions that may serve the organisation, or an empty set for
 * all
 */
public record OrganisationPlan(String name, Set<String> keys, OptionalInt priority, double ratePerSecond, double burst,
		Set<String> allowedRegions) {

	public OrganisationPlan {
		keys = Set.copyOf(keys);
		allowedRegions = Set.copyOf(allowedRegions);
	}

}
