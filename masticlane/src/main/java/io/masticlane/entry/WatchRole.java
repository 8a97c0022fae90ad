package io.masticlane.entry;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import io.masticlane.configuration.EntryHost;
import io.masticlane.route.RoutingTable;

/**
 * The role of an entry host in watching the store. A few hosts in each region watch it;
 * the others receive the configuration from peers, and poll only when the last contact of
 * any peer with the store is older than {@link #SEARCH_AGE_MILLIS}.
 */
enum WatchRole {

	/**
	 * The entry host watches the store, and polls to check the watch.
	 */
	WATCHING(true, 1_000),

	/**
	 * The entry host has no configuration yet and polls for one.
	 */
	STARTING(false, 1_000),

	/**
	 * The last store contact of this entry host and its peers is older than
	 * {@link #SEARCH_AGE_MILLIS}, so the entry host polls.
	 */
	SEARCHING(false, 5_000),

	/**
	 * The entry host receives the state of the store from its peers.
	 */
	FOLLOWING(false, 0);

	/**
	 * The number of entry hosts in each region that watch the store.
	 */
	static final int WATCHERS_PER_REGION = 2;

	/**
	 * The age of the last store contact above which a following entry host polls.
	 */
	static final long SEARCH_AGE_MILLIS = 3_000;

	private final boolean watching;

	private final long pollMillis;

	WatchRole(boolean watching, long pollMillis) {
		this.watching = watching;
		this.pollMillis = pollMillis;
	}

	boolean isWatching() {
		return this.watching;
	}

	boolean isPolling() {
		return this.pollMillis > 0;
	}

	long pollMillis() {
		return this.pollMillis;
	}

	/**
	 * Returns the role of an entry host. If hosts disagree on which hosts are responsive,
	 * one host too many watches at worst.
	 * @param table the routing table in force, or {@code null}
	 * @param self the name of the entry host
	 * @param responsiveHosts the names of the other responsive entry hosts
	 * @param storeAgeMillis the age of the last store contact
	 * @return the role
	 */
	static WatchRole of(RoutingTable table, String self, List<String> responsiveHosts, long storeAgeMillis) {
		if (table == null) {
			return STARTING;
		}
		List<EntryHost> configured = table.configuration().entryHosts();
		String region = region(table, self);
		boolean selected = Stream.concat(responsiveHosts.stream(), Stream.of(self))
			.filter((name) -> region(table, name).equals(region))
			.sorted(Comparator.comparingInt(WatchRole::hashRank).thenComparing(Comparator.naturalOrder()))
			.limit(WATCHERS_PER_REGION)
			.anyMatch(self::equals);
		boolean isConfigured = configured.stream().anyMatch((host) -> host.name().equals(self));
		if (selected && isConfigured) {
			return WATCHING;
		}
		return (storeAgeMillis > SEARCH_AGE_MILLIS) ? SEARCHING : FOLLOWING;
	}

	private static String region(RoutingTable table, String host) {
		return table.configuration()
			.entryHosts()
			.stream()
			.filter((each) -> each.name().equals(host))
			.map((each) -> table.region(each.dataCentre()))
			.findFirst()
			.orElse("");
	}

	private static int hashRank(String name) {
		return name.hashCode() * 0x9E3779B9;
	}

}
