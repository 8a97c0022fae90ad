package io.masticlane.backend;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.EntryHost;
import io.masticlane.route.RoutingTable;

/**
 * Divides the slots of each backend server among the configured entry hosts. Every entry
 * host computes the same division, which assigns each slot to exactly one entry host.
 */
final class SlotShares {

	private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private SlotShares() {
	}

	/**
	 * Returns the slots that are assigned to an entry host. The entry hosts in the region
	 * of the backend server share its slots, or all entry hosts if there is none in that
	 * region.
	 * @param table the routing table of the configuration
	 * @param server the backend server
	 * @param entryHost the name of the entry host
	 * @return the indices of the slots, from zero in ascending order
	 */
	static int[] ownedSlots(RoutingTable table, BackendServer server, String entryHost) {
		List<String> ranked = sharingEntryHosts(table, server).stream()
			.sorted(Comparator.comparingLong((String host) -> hash(server.name() + '/' + host))
				.thenComparing(Comparator.naturalOrder()))
			.toList();
		int rank = ranked.indexOf(entryHost);
		return (rank < 0) ? new int[0]
				: IntStream.iterate(rank, (slot) -> slot < server.slots(), (slot) -> slot + ranked.size()).toArray();
	}

	private static List<String> sharingEntryHosts(RoutingTable table, BackendServer server) {
		String region = table.region(server.dataCentre());
		List<EntryHost> all = table.configuration().entryHosts();
		List<String> local = all.stream()
			.filter((host) -> table.region(host.dataCentre()).equals(region))
			.map(EntryHost::name)
			.toList();
		return local.isEmpty() ? all.stream().map(EntryHost::name).toList() : local;
	}

	private static long hash(String text) {
		long hash = text.chars().asLongStream().reduce(FNV_OFFSET_BASIS, (state, next) -> (state ^ next) * FNV_PRIME);
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		return hash ^ (hash >>> 33);
	}

}
