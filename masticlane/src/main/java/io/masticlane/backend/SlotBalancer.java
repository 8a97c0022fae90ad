package io.masticlane.backend;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.masticlane.configuration.BackendServer;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.AttemptResult;

/**
 * Prefers the slots assigned to this entry host to those assigned to others, region by
 * region.
 */
public final class SlotBalancer implements Balancer {

	/**
	 * The number of connection pools of an entry host, one for each event loop of the
	 * caller side.
	 */
	private static final int CONNECTION_POOLS = 2;

	private final String entryHost;

	private final Map<String, ServerSlots> slots = new HashMap<>();

	private Map<String, Map<String, List<ServerSlots>>> byServiceAndRegion = Map.of();

	private boolean configured;

	/**
	 * Creates a new balancer.
	 * @param entryHost the name of this entry host
	 */
	public SlotBalancer(String entryHost) {
		this.entryHost = entryHost;
	}

	@Override
	public void configure(RoutingTable table, long now) {
		List<BackendServer> servers = table.configuration().backendServers();
		int entryHosts = Math.max(1, table.configuration().entryHosts().size());
		servers.forEach(
				(server) -> this.slots.computeIfAbsent(server.name(), (name) -> new ServerSlots(this.configured, now))
					.configure(server, SlotShares.ownedSlots(table, server, this.entryHost),
							Math.max(1, server.connections() / entryHosts / CONNECTION_POOLS), now));
		Set<String> names = servers.stream().map(BackendServer::name).collect(Collectors.toSet());
		this.slots.values().removeIf((each) -> each.inUse() == 0 && !names.contains(each.server().name()));
		this.byServiceAndRegion = servers.stream()
			.collect(Collectors.groupingBy(BackendServer::service,
					Collectors.groupingBy((server) -> table.region(server.dataCentre()),
							Collectors.mapping((server) -> this.slots.get(server.name()), Collectors.toList()))));
		this.configured = true;
	}

	@Override
	public Optional<Choice> choose(Demand demand, long now) {
		Map<String, List<ServerSlots>> byRegion = this.byServiceAndRegion.getOrDefault(demand.service(), Map.of());
		boolean firstRegionAvailable = demand.regions()
			.stream()
			.limit(1)
			.flatMap((first) -> byRegion.getOrDefault(first.region(), List.of()).stream())
			.anyMatch((slots) -> slots.isAvailable(now));
		return demand.regions()
			.stream()
			.filter((candidate) -> !firstRegionAvailable || candidate.roundTripNanos() <= demand.waitedNanos())
			.flatMap((candidate) -> bestServer(byRegion.getOrDefault(candidate.region(), List.of()), demand, now)
				.stream()
				.filter((slots) -> demand.tryAcquireCapacity().test(candidate.region())))
			.findFirst()
			.map((slots) -> new Choice(slots.server(), slots.acquire(now)));
	}

	@Override
	public void release(BackendServer server, AttemptResult result, long now) {
		ServerSlots released = this.slots.get(server.name());
		if (released != null) {
			released.release(result, now);
		}
	}

	@Override
	public void reportReceived(String server, BackendReport report, long now) {
		ServerSlots reported = this.slots.get(server);
		if (reported != null) {
			reported.updateReport(report, now);
		}
	}

	@Override
	public void markLeaving(String server, long now) {
		Optional.ofNullable(this.slots.get(server)).ifPresent((slots) -> slots.markLeaving(now));
	}

	@Override
	public List<String> leavingServers(long now) {
		return this.slots.values()
			.stream()
			.filter((slots) -> slots.hasReportedLeaving(now))
			.map((slots) -> slots.server().name())
			.toList();
	}

	private static Optional<ServerSlots> bestServer(List<ServerSlots> servers, Demand demand, long now) {
		return servers.stream()
			.filter((slots) -> slots.isAvailable(now)
					&& (slots.hasFreeOwnSlot(now) || slots.hasFreeOverflowSlot(demand.overflow(), now)))
			.min(Comparator.comparing((ServerSlots slots) -> demand.tried().contains(slots.server().name()))
				.thenComparing((slots) -> !slots.hasFreeOwnSlot(now))
				.thenComparingDouble(ServerSlots::utilization));
	}

}
