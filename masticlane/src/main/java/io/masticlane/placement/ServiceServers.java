package io.masticlane.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.masticlane.admission.Room;

/**
 * The servers of a service by region. Each request examines all of them, and services
 * with hundreds of servers are usual, so plain loops are used that allocate few objects.
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
		ServerState removed = this.servers.remove(id);
		if (removed != null) {
			this.regions.computeIfPresent(removed.region(), (region, members) -> {
				members.remove(removed);
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
	 * @param counted the condition for servers to be counted
	 * @param now the current time in nanoseconds
	 * @return the loads of the regions with such servers
	 */
	Map<String, RegionLoad> loads(Predicate<ServerState> counted, long now) {
		Map<String, RegionLoad> loads = new HashMap<>();
		this.regions.forEach((region, members) -> {
			int count = 0;
			int load = 0;
			int slots = 0;
			for (ServerState each : members) {
				if (counted.test(each)) {
					count++;
					load += each.load(now);
					slots += each.entry().slots();
				}
			}
			if (count > 0) {
				loads.put(region, new RegionLoad(load, slots));
			}
		});
		return loads;
	}

	/**
	 * Returns what the servers of a region can take.
	 * @param region the name of the region
	 * @param counted the condition for servers to be counted
	 * @param now the current time in nanoseconds
	 * @return the room
	 */
	Room room(String region, Predicate<ServerState> counted, long now) {
		Room room = Room.NONE;
		for (ServerState each : this.regions.getOrDefault(region, List.of())) {
			if (counted.test(each)) {
				room = room.plus(new Room.Server(each.entry().slots(), each.load(now), each.hasRecentReport(now),
						1 / each.machineSpeed().factor(now)));
			}
		}
		return room;
	}

	/**
	 * Returns the servers that may receive a request. Unhealthy servers are excluded from
	 * the preferred ones, unless so many are unhealthy that the servers themselves are
	 * unlikely to be the cause.
	 * @param allowed the condition for servers to receive the request
	 * @param healthy the condition for servers to be healthy
	 * @param minimumHealthyFraction the minimum fraction of the servers that must be
	 * healthy for the unhealthy ones to be excluded
	 * @return the servers by region
	 */
	UsableServers usableServers(Predicate<ServerState> allowed, Predicate<ServerState> healthy,
			double minimumHealthyFraction) {
		Map<String, List<ServerState>> all = new HashMap<>();
		Map<String, List<ServerState>> healthyByRegion = new HashMap<>();
		int allCount = 0;
		int healthyCount = 0;
		for (Map.Entry<String, List<ServerState>> region : this.regions.entrySet()) {
			List<ServerState> members = new ArrayList<>(region.getValue().size());
			List<ServerState> healthyMembers = new ArrayList<>(region.getValue().size());
			for (ServerState each : region.getValue()) {
				if (allowed.test(each)) {
					members.add(each);
					if (healthy.test(each)) {
						healthyMembers.add(each);
					}
				}
			}
			if (!members.isEmpty()) {
				allCount += members.size();
				healthyCount += healthyMembers.size();
				all.put(region.getKey(), members);
				healthyByRegion.put(region.getKey(), healthyMembers);
			}
		}
		return new UsableServers(all, (healthyCount >= allCount * minimumHealthyFraction) ? healthyByRegion : all);
	}

}
