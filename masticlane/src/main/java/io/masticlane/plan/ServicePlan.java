package io.masticlane.plan;

/**
 * The plan of a service.
 *
 * @param name the name of the service
 * @param maximumConnections the maximum number of connections of a backend server from
 * all entry hosts
 * @param coldSeconds how long a backend server is cold, and therefore slow, after its
 * start
 * @param coldRequestsPerSecond the rate of requests that a cold backend server can
 * process
 * @param healthCheckPath the path of the health check of backend servers, or an empty
 * string if they have none
 */
public record ServicePlan(String name, int maximumConnections, double coldSeconds, double coldRequestsPerSecond,
		String healthCheckPath) {
}
