package io.masticlane.plan;

import java.util.List;
import java.util.Set;

/**
 * A route for the requests whose path starts with a prefix.
 *
 * @param name the name of the route
 * @param prefix the prefix of the path, with a slash at both ends
 * @param kind what the requests are, which decides whether they may run more than once
 * @param timeoutMillis the maximum time until the response to a caller, or zero for no
 * limit
 * @param objectiveMillis the time within which a response has its full value
 * @param priority the priority of the route, zero being the highest
 * @param targets the services that the requests are distributed over
 * @param maximumServers the maximum number of backend servers that one request may be
 * sent to
 * @param open whether callers need no key
 * @param sticky whether a backend server is faster for objects that it served recently
 * @param allowedRegions the regions that may serve the route, or an empty set for all
 */
public record PathRoute(String name, String prefix, RouteKind kind, long timeoutMillis, long objectiveMillis,
		int priority, List<WeightedService> targets, int maximumServers, boolean open, boolean sticky,
		Set<String> allowedRegions) {

	public PathRoute {
		targets = List.copyOf(targets);
		allowedRegions = Set.copyOf(allowedRegions);
	}

	/**
	 * Returns whether a request may run more than once.
	 * @return whether a request may run more than once
	 */
	public boolean idempotent() {
		return this.kind.isIdempotent();
	}

	/**
	 * A service with its weight among the services of a route.
	 *
	 * @param service the name of the service
	 * @param weight the weight, relative to the sum of the weights
	 */
	public record WeightedService(String service, double weight) {
	}

}
