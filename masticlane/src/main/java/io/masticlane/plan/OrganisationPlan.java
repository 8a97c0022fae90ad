package io.masticlane.plan;

import java.util.OptionalInt;
import java.util.Set;

/**
 * What an organisation may ask for.
 *
 * @param name the name of the organisation
 * @param keys the keys of its callers
 * @param priority the rank of its requests, which goes before the route's
 * @param ratePerSecond the requests a second over all entry hosts, or zero for no limit
 * @param burst the requests that may come at once besides the rate
 * @param allowedRegions the regions that may serve the organisation, or none for all
 */
public record OrganisationPlan(String name, Set<String> keys, OptionalInt priority, double ratePerSecond, double burst,
		Set<String> allowedRegions) {

	public OrganisationPlan {
		keys = Set.copyOf(keys);
		allowedRegions = Set.copyOf(allowedRegions);
	}

}
