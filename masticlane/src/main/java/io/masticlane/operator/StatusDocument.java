package io.masticlane.operator;

import java.util.List;

/**
 * What an entry host tells of itself at {@code /status}.
 *
 * @param host the name of the entry host
 * @param incarnation the identifier of its process
 * @param revision the configuration revision in force, or zero
 * @param ready whether look-ups are answered
 * @param leaving whether it is shutting down
 * @param inFlight the requests in flight
 * @param storeAgeMillis the milliseconds since the store was heard
 * @param shares the entry hosts whose shares of the limits this process may use
 * @param peers the other entry hosts that are heard
 */
public record StatusDocument(String host, String incarnation, long revision, boolean ready, boolean leaving,
		int inFlight, long storeAgeMillis, int shares, List<PeerStatus> peers) {

	/**
	 * What was last heard of another entry host.
	 *
	 * @param host the name of the entry host
	 * @param incarnation the identifier of its process
	 * @param revisionHeard the configuration revision last heard to be in force there
	 * @param heardMillisAgo the milliseconds since its last heartbeat
	 */
	public record PeerStatus(String host, String incarnation, long revisionHeard, long heardMillisAgo) {
	}

}
