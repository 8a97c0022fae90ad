package io.masticlane.plan;

/**
 * A service of the plan.
 *
 * @param name the name of the service
 * @param maximumConnections the connections that a backend server takes from all entry
 * hosts
 * @param coldSeconds how long a backend server is slow after its start
 * @param coldRequestsPerSecond the requests a second that a cold backend server bears
 */
public record ServicePlan(String name, int maximumConnections, double coldSeconds, double coldRequestsPerSecond) {
}
