package io.masticlane.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The servers that may get a request, by region. A region counts while it has any, sound
 * or not.
 *
 * @param all the servers of each region that has any
 * @param healthy those of them that are to be used, for the same regions
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
