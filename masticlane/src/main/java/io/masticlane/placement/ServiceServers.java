package io.masticlane.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The servers of a service by region. Each request looks at all of them, so these are
 * loops that create little, as hundreds of servers are usual.
 */
final class ServiceServers {

	private final Map<String, ServerState> servers = new HashMap<>();

	private final Map<String, List<ServerState>> regions = new HashMap<>();

	void add(ServerState server) {
		remove(server.entry().id());
		this.servers.put(server.entry().id(), server);
		this.regions.computeIfAbsent(server.region(), (region) -> new ArrayList<>()).add(server);
	}

	void remove(String id) {
		ServerState former = this.servers.remove(id);
		if (former != null) {
			this.regions.computeIfPresent(former.region(), (region, members) -> {
				members.remove(former);
				return members.isEmpty() ? null : members;
			});
		}
	}

	Optional<ServerState> find(String id) {
		return Optional.ofNullable(this.servers.get(id));
	}

	Collection<ServerState> all() {
		return Collections.unmodifiableCollection(this.servers.values());
	}

	/**
	 * Returns the load of each region.
	 * @param counted the servers that are looked at
	 * @param now the present in nanoseconds
	 * @return the loads of the regions with such servers
	 */
	Map<String, RegionLoad> loads(Predicate<ServerState> counted, long now) {
		Map<String, RegionLoad> loads = new HashMap<>();
		this.regions.forEach((region, members) -> {
			int found = 0;
			int load = 0;
			int slots = 0;
			for (ServerState each : members) {
				if (counted.test(each)) {
					found++;
					load += each.load(now);
					slots += each.entry().slots();
				}
			}
			if (found > 0) {
				loads.put(region, new RegionLoad(load, slots));
			}
		});
		return loads;
	}

	/**
	 * Returns the servers that may get a request. Unhealthy ones are left out, unless so
	 * many are unhealthy that the cause is likely to lie elsewhere.
	 * @param allowed the servers that may get the request
	 * @param healthy the servers that are healthy
	 * @param smallestPart the part of the servers that must be healthy
	 * @return the servers by region
	 */
	UsableServers usableServers(Predicate<ServerState> allowed, Predicate<ServerState> healthy, double smallestPart) {
		Map<String, List<ServerState>> all = new HashMap<>();
		Map<String, List<ServerState>> sound = new HashMap<>();
		int allCount = 0;
		int soundCount = 0;
		for (Map.Entry<String, List<ServerState>> region : this.regions.entrySet()) {
			List<ServerState> members = new ArrayList<>(region.getValue().size());
			List<ServerState> soundMembers = new ArrayList<>(region.getValue().size());
			for (ServerState each : region.getValue()) {
				if (allowed.test(each)) {
					members.add(each);
					if (healthy.test(each)) {
						soundMembers.add(each);
					}
				}
			}
			if (!members.isEmpty()) {
				allCount += members.size();
				soundCount += soundMembers.size();
				all.put(region.getKey(), members);
				sound.put(region.getKey(), soundMembers);
			}
		}
		return new UsableServers(all, (soundCount >= allCount * smallestPart) ? sound : all);
	}

}
