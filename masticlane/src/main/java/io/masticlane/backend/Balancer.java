package io.masticlane.backend;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.masticlane.configuration.BackendServer;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.AttemptResult;

/**
 * Chooses a backend server for each attempt; used on the decisions' thread alone.
 */
public interface Balancer {

	/**
	 * Takes a configuration into account.
	 * @param table the routing table of the configuration
	 * @param now the present in nanoseconds
	 */
	void configure(RoutingTable table, long now);

	/**
	 * Chooses a backend server and takes one of its slots.
	 * @param demand what the attempt needs
	 * @param now the present in nanoseconds
	 * @return the backend server, or nothing if none has a free slot
	 */
	Optional<Choice> choose(Demand demand, long now);

	/**
	 * Gives back the slot of an attempt.
	 * @param server the backend server
	 * @param end how the attempt ended
	 * @param now the present in nanoseconds
	 */
	void release(BackendServer server, AttemptResult end, long now);

	/**
	 * Receives what a backend server tells of itself.
	 * @param server the name of the backend server
	 * @param report the report
	 * @param now the present in nanoseconds
	 */
	void reportReceived(String server, BackendReport report, long now);

	/**
	 * Receives from another entry host that a backend server is leaving.
	 * @param server the name of the backend server
	 * @param now the present in nanoseconds
	 */
	void markLeaving(String server, long now);

	/**
	 * Returns the backend servers that lately told themselves that they are leaving.
	 * @param now the present in nanoseconds
	 * @return the names of the backend servers
	 */
	List<String> leavingServers(long now);

	/**
	 * What an attempt needs.
	 *
	 * @param service the name of the service
	 * @param tried the names of backend servers that the request has tried, which come
	 * last
	 * @param overflow the slots of other entry hosts that may be taken
	 * @param regions the regions that may be used, in the order of preference
	 * @param waitedNanos the time that the request has waited
	 * @param tryAcquireCapacity whether a region has capacity for the attempt; asked at
	 * most once for each region, and only when a slot is free there
	 */
	record Demand(String service, Set<String> tried, Overflow overflow, List<Candidate> regions, long waitedNanos,

			Predicate<String> tryAcquireCapacity) {
	}

	/**
	 * The slots of other entry hosts that an attempt may take.
	 */
	enum Overflow {

		/**
		 * None.
		 */
		NONE,

		/**
		 * Those that the backend server lately reported as free.
		 */
		REPORTED_FREE,

		/**
		 * Those that may be free at a backend server that may be idle for the most part.
		 */
		IDLE,

		/**
		 * Those that may be free.
		 */
		ANY

	}

	/**
	 * A region that may be used.
	 *
	 * @param region the name of the region
	 * @param roundTripNanos the round-trip time to the region; while the first region has
	 * backend servers that take work, a request waits for as long before it goes there
	 */
	record Candidate(String region, long roundTripNanos) {
	}

	/**
	 * A chosen backend server.
	 *
	 * @param server the backend server
	 * @param speculative whether the slot is perhaps in use, so that the attempt may be
	 * shed
	 */
	record Choice(BackendServer server, boolean speculative) {
	}

}
