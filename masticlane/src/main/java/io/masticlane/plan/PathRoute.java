package io.masticlane.plan;

import java.util.List;
import java.util.Set;

/**
 * A route for the requests whose path starts with a prefix.
 *
 * @param name the name of the route
 * @param prefix the prefix of the path, with a slash at both ends
 * @param idempotent whether a request may run more than once
 * @param timeoutMillis the longest time that a caller is kept waiting, or zero for no
 * limit
 * @param objectiveMillis the time within which an answer has its full value
 * @param priority the rank of the route, the most urgent being zero
 * @param targets the services that the requests are divided among
 * @param maximumServers the number of backend servers that one request may be sent to
 * @param open whether callers need no key
 * @param sticky whether a backend server is faster for objects that it served lately
 * @param allowedRegions the regions that may serve the route, or none for all
 */
public record PathRoute(String name, String prefix, boolean idempotent, long timeoutMillis, long objectiveMillis,
		int priority, List<WeightedService> targets, int maximumServers, boolean open, boolean sticky,
		Set<String> allowedRegions) {

	public PathRoute {
		targets = List.copyOf(targets);
		allowedRegions = Set.copyOf(allowedRegions);
	}

	/**
	 * A service with its part of a route's requests.
	 *
	 * @param service the name of the service
	 * @param weight the weight of the service among those of the route
	 */
	public record WeightedService(String service, double weight) {
	}

}
