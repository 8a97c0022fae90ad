package io.masticlane.backend;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.masticlane.configuration.BackendServer;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.AttemptResult;

/**
 * Chooses a backend server for each attempt. Confined to the decisions thread.
 */
public interface Balancer {

	/**
	 * Applies a configuration.
	 * @param table the routing table of the configuration
	 * @param now the current time in nanoseconds
	 */
	void configure(RoutingTable table, long now);

	/**
	 * Chooses a backend server and acquires one of its slots.
	 * @param demand the requirements of the attempt
	 * @param now the current time in nanoseconds
	 * @return the backend server, or empty if none has a free slot
	 */
	Optional<Choice> choose(Demand demand, long now);

	/**
	 * Releases the slot of an attempt.
	 * @param server the backend server
	 * @param result the result of the attempt
	 * @param now the current time in nanoseconds
	 */
	void release(BackendServer server, AttemptResult result, long now);

	/**
	 * Handles the load and state that a backend server reported.
	 * @param server the name of the backend server
	 * @param report the report
	 * @param now the current time in nanoseconds
	 */
	void reportReceived(String server, BackendReport report, long now);

	/**
	 * Handles a notice from another entry host that a backend server is leaving.
	 * @param server the name of the backend server
	 * @param now the current time in nanoseconds
	 */
	void markLeaving(String server, long now);

	/**
	 * Returns the backend servers that recently reported to this entry host that they are
	 * leaving.
	 * @param now the current time in nanoseconds
	 * @return the names of the backend servers
	 */
	List<String> leavingServers(long now);

	/**
	 * The requirements of an attempt.
	 *
	 * @param service the name of the service
	 * @param tried the names of backend servers that the request has tried, which are
	 * considered last
	 * @param overflow the slots of other entry hosts that may be used
	 * @param regions the candidate regions in order of preference
	 * @param waitedNanos the time that the request has been queued
	 * @param tryAcquireCapacity acquires capacity of a region for the attempt; called at
	 * most once for each region, and only if a slot is free there
	 */
	record Demand(String service, Set<String> tried, Overflow overflow, List<Candidate> regions, long waitedNanos,

			Predicate<String> tryAcquireCapacity) {
	}

	/**
	 * The slots of other entry hosts that an attempt may use.
	 */
	enum Overflow {

		/**
		 * No slots of other entry hosts.
		 */
		NONE,

		/**
		 * Slots that the backend server recently reported as free.
		 */
		REPORTED_FREE,

		/**
		 * Slots that may be free at a backend server that may be mostly idle.
		 */
		IDLE,

		/**
		 * All slots that may be free.
		 */
		ANY

	}

	/**
	 * A candidate region.
	 *
	 * @param region the name of the region
	 * @param roundTripNanos the round-trip time to the region; while the first region has
	 * available backend servers, a request is queued for at least this time before it is
	 * sent to the region
	 */
	record Candidate(String region, long roundTripNanos) {
	}

	/**
	 * A chosen backend server.
	 *
	 * @param server the backend server
	 * @param speculative whether the slot may be in use, so that the attempt may be shed
	 */
	record Choice(BackendServer server, boolean speculative) {
	}

}
