package io.masticlane.operator;

import java.util.List;

/**
 * The state of an entry host, as returned by {@code /status}.
 *
 * @param host the name of the entry host
 * @param incarnation the identifier of the process
 * @param revision the configuration revision in force, or zero if there is none
 * @param ready whether look-ups are answered
 * @param leaving whether the entry host is shutting down
 * @param inFlight the number of requests in flight
 * @param storeAgeMillis the milliseconds since the last contact with the store
 * @param shares the number of entry hosts whose shares of the limits this process may use
 * @param peers the other entry hosts that are responsive
 */
public record StatusDocument(String host, String incarnation, long revision, boolean ready, boolean leaving,
		int inFlight, long storeAgeMillis, int shares, List<PeerStatus> peers) {

	/**
	 * The state last received from another entry host.
	 *
	 * @param host the name of the entry host
	 * @param incarnation the identifier of the process
	 * @param revisionHeard the configuration revision that the entry host last reported
	 * as in force
	 * @param heardMillisAgo the milliseconds since the last heartbeat of the entry host
	 */
	public record PeerStatus(String host, String incarnation, long revisionHeard, long heardMillisAgo) {
	}

}
