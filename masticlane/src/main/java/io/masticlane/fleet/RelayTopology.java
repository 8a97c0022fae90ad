package io.masticlane.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Decides which hosts a host connects to and reports to. In a small fleet that is every
 * other host. In a larger one the first hosts of each region that can be reached relay
 * the reports of the others, so that a host has as many connections whatever the size of
 * the fleet. Each host decides by itself; hosts that see different hosts only keep more
 * connections than necessary.
 */
public final class RelayTopology {

	/**
	 * The relays that each host reports to, so that the loss of one delays no report.
	 */
	static final int RELAYS_PER_REGION = 2;

	/**
	 * How long a host may take to become connected before the next one is tried as well,
	 * in nanoseconds: the timeout of a connection attempt and a greeting.
	 */
	static final long CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

	/**
	 * How long a relay waits for a connection from another relay with a lower name before
	 * it connects itself, in nanoseconds. The other one may not know of it yet.
	 */
	static final long DIAL_BACK_NANOS = CONNECT_NANOS / 2;

	/**
	 * Relays forward the reports of all hosts, which takes the link and the processor of
	 * the strongest ones least.
	 */
	private static final Comparator<Gateway> ORDER = Comparator
		.comparingDouble((Gateway gateway) -> -gateway.capacity().bandwidthMegabits())
		.thenComparingDouble((gateway) -> -gateway.capacity().cores())
		.thenComparing(Gateway::host);

	private final Map<String, Long> unconnectedSince = new HashMap<>();

	/**
	 * Decides the links of this host.
	 * @param self this host
	 * @param others the other members of the fleet
	 * @param connected whether a host is connected
	 * @param fullMeshHosts the largest number of hosts that all report to each other
	 * @param now the current time in nanoseconds
	 * @return the links
	 */
	public Links links(Gateway self, Collection<Gateway> others, Predicate<String> connected, int fullMeshHosts,
			long now) {
		if (others.size() < fullMeshHosts) {
			this.unconnectedSince.clear();
			return new Links(false, false, List.copyOf(others), Set.of(), Set.of(), Set.of());
		}
		Map<String, List<Gateway>> regions = new TreeMap<>();
		others.forEach((each) -> regions.computeIfAbsent(each.region(), (name) -> new ArrayList<>()).add(each));
		regions.computeIfAbsent(self.region(), (name) -> new ArrayList<>()).add(self);
		Set<Gateway> dialled = new LinkedHashSet<>();
		Set<String> relays = selectRelays(self, regions.get(self.region()), connected, dialled, now);
		boolean relay = relays.remove(self.host());
		Set<String> remoteRelays = new LinkedHashSet<>();
		if (relay) {
			regions.forEach((region, members) -> {
				if (!region.equals(self.region())) {
					remoteRelays.addAll(selectRelays(self, members, connected, dialled, now));
				}
			});
		}
		this.unconnectedSince.keySet()
			.removeIf((name) -> dialled.stream().noneMatch((each) -> each.host().equals(name)));
		Set<String> late = this.unconnectedSince.entrySet()
			.stream()
			.filter((each) -> now - each.getValue() > DIAL_BACK_NANOS)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
		return new Links(true, relay, List.copyOf(dialled), relays, remoteRelays, late);
	}

	/**
	 * Selects the first hosts of a region that are connected. A host that is not
	 * connected in time is passed over, but still dialled, since it may return.
	 * @param self this host
	 * @param members the members of the region
	 * @param connected whether a host is connected
	 * @param dialled receives the hosts to connect to
	 * @param now the current time in nanoseconds
	 * @return the names of the hosts that are connected or this host itself
	 */
	private Set<String> selectRelays(Gateway self, List<Gateway> members, Predicate<String> connected,
			Set<Gateway> dialled, long now) {
		Set<String> relays = new LinkedHashSet<>();
		int expected = 0;
		for (Gateway member : members.stream().sorted(ORDER).toList()) {
			if (expected == RELAYS_PER_REGION) {
				break;
			}
			if (member.leaving()) {
				continue;
			}
			if (member.host().equals(self.host())) {
				relays.add(self.host());
				expected++;
				continue;
			}
			dialled.add(member);
			if (connected.test(member.host())) {
				this.unconnectedSince.remove(member.host());
				relays.add(member.host());
				expected++;
			}
			else if (now - this.unconnectedSince.computeIfAbsent(member.host(), (name) -> now) < CONNECT_NANOS) {
				expected++;
			}
		}
		return relays;
	}

	/**
	 * The links of a host.
	 *
	 * @param relayed whether reports travel over relays
	 * @param relay whether this host is a relay of its region
	 * @param dialled the hosts to connect to
	 * @param relays the other relays of this host's region, to which it reports
	 * @param remoteRelays the relays of other regions, to which a relay forwards reports
	 * @param late the hosts to connect to that have not been connected for a while
	 */
	public record Links(boolean relayed, boolean relay, List<Gateway> dialled, Set<String> relays,
			Set<String> remoteRelays, Set<String> late) {

		public Links {
			dialled = List.copyOf(dialled);
			relays = Set.copyOf(relays);
			remoteRelays = Set.copyOf(remoteRelays);
			late = Set.copyOf(late);
		}

	}

}
