package io.masticlane.placement;

import java.util.Set;

import io.masticlane.plan.PathRoute;

/**
 * A request that a server is chosen for.
 *
 * @param route the route
 * @param service the name of the service, one of the route's services
 * @param object the hash of the object, or of the request if it names no object
 * @param requestHash the hash of the request, different for each request
 * @param allowedRegions the regions that may serve the request; empty if all may
 * @param excluded the identifiers of the servers that already received the request
 * @param objectiveMillis the response time objective of the route
 * @param coldRequestsPerSecond the rate of requests that a cold server of the service can
 * handle
 * @param gatewaysInRegion the number of gateways in the region, which share that rate
 */
public record PlacementRequest(PathRoute route, String service, long object, long requestHash,
		Set<String> allowedRegions, Set<String> excluded, double objectiveMillis, double coldRequestsPerSecond,
		int gatewaysInRegion) {

	public PlacementRequest {
		allowedRegions = Set.copyOf(allowedRegions);
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Returns the request for another attempt.
	 * @param tried the identifiers of the servers that already received the request
	 * @return the request without those servers
	 */
	public PlacementRequest withExcluded(Set<String> tried) {
		return new PlacementRequest(this.route, this.service, this.object, this.requestHash, this.allowedRegions, tried,
				this.objectiveMillis, this.coldRequestsPerSecond, this.gatewaysInRegion);
	}

}
