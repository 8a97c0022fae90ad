package io.masticlane.entry;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import io.masticlane.configuration.EntryHost;
import io.masticlane.route.RoutingTable;

/**
 * The part that an entry host has in watching the store. A few in each region watch; the
 * others hear from peers, and poll only when no peer has heard the store for long.
 */
enum WatchRole {

	/**
	 * The entry host watches, and polls as a check.
	 */
	WATCHING(true, 1_000),

	/**
	 * The entry host has no configuration and polls for the first.
	 */
	STARTING(false, 1_000),

	/**
	 * No peer that is heard has heard the store, so the entry host polls.
	 */
	SEARCHING(false, 5_000),

	/**
	 * The entry host hears of the store from its peers.
	 */
	FOLLOWING(false, 0);

	/**
	 * The entry hosts of each region that watch.
	 */
	static final int WATCHING_PER_REGION = 2;

	/**
	 * The age of the store contact from which a following entry host polls.
	 */
	static final long SEARCH_AGE_MILLIS = 3_000;

	private final boolean watching;

	private final long pollMillis;

	WatchRole(boolean watching, long pollMillis) {
		this.watching = watching;
		this.pollMillis = pollMillis;
	}

	boolean watches() {
		return this.watching;
	}

	boolean polls() {
		return this.pollMillis > 0;
	}

	long pollMillis() {
		return this.pollMillis;
	}

	/**
	 * Decides on the part of an entry host. Hosts that disagree on who is heard at worst
	 * watch with one too many.
	 * @param table the routing table in force, or {@code null}
	 * @param self the name of the entry host
	 * @param heard the names of the other entry hosts that are heard
	 * @param storeAgeMillis the age of the store contact
	 * @return the part
	 */
	static WatchRole of(RoutingTable table, String self, List<String> heard, long storeAgeMillis) {
		if (table == null) {
			return STARTING;
		}
		List<EntryHost> configured = table.configuration().entryHosts();
		String region = region(table, self);
		boolean ranked = Stream.concat(heard.stream(), Stream.of(self))
			.filter((name) -> region(table, name).equals(region))
			.sorted(Comparator.comparingInt(WatchRole::weight).thenComparing(Comparator.naturalOrder()))
			.limit(WATCHING_PER_REGION)
			.anyMatch(self::equals);
		boolean known = configured.stream().anyMatch((host) -> host.name().equals(self));
		if (ranked && known) {
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

	private static int weight(String name) {
		return name.hashCode() * 0x9E3779B9;
	}

}
