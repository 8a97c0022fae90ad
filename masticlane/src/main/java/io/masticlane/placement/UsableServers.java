package io.masticlane.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The servers that may receive a request, by region. A region is included while it has
 * any such server, healthy or not.
 *
 * @param all the servers of each region that has any
 * @param healthy the preferred servers of the same regions: the healthy ones, or all if
 * too few are healthy
 */
record UsableServers(Map<String, List<ServerState>> all, Map<String, List<ServerState>> healthy) {

	boolean isEmpty() {
		return this.all.isEmpty();
	}

	Set<String> regions() {
		return this.all.keySet();
	}

	List<ServerState> all(String region) {
		return this.all.getOrDefault(region, List.of());
	}

	List<ServerState> healthy(String region) {
		return this.healthy.getOrDefault(region, List.of());
	}

}
