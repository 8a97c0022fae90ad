package io.masticlane.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import io.masticlane.peer.Peer;

/**
 * Determines the earliest time at which a peer can have sent a heartbeat: the time at
 * which this process sent the heartbeat that it echoes. Used on the decisions thread
 * only.
 */
public final class HeartbeatEchoes {

	private static final int HISTORY_SIZE = 256;

	private final long[] sentAt = new long[HISTORY_SIZE];

	private final Map<String, LastReceived> lastReceived = new HashMap<>();

	private long sequence;

	/**
	 * Records that the next heartbeat is sent to all peers.
	 * @param now the current time in nanoseconds
	 * @return the sequence number of the heartbeat
	 */
	public long nextSequence(long now) {
		this.sequence++;
		this.sentAt[index(this.sequence)] = now;
		return this.sequence;
	}

	/**
	 * Records the sequence number of a heartbeat of a peer.
	 * @param peer the peer
	 * @param receivedSequence the sequence number of its heartbeat
	 */
	public void receive(Peer peer, long receivedSequence) {
		this.lastReceived.merge(peer.host(), new LastReceived(peer, receivedSequence),
				(previous, received) -> received.orNewer(previous));
	}

	/**
	 * Returns the sequence number to echo to a peer.
	 * @param peer the peer
	 * @return the last sequence number received from its process, or zero
	 */
	public long echo(Peer peer) {
		LastReceived last = this.lastReceived.get(peer.host());
		return (last != null && last.peer().equals(peer)) ? last.sequence() : 0;
	}

	/**
	 * Returns the time before which a heartbeat with an echo cannot have been sent.
	 * @param echo the echo that the heartbeat carries
	 * @return the time in nanoseconds, or nothing if the echo is zero or too old
	 */
	public OptionalLong sentNotBefore(long echo) {
		boolean known = echo > 0 && echo <= this.sequence && echo > this.sequence - HISTORY_SIZE;
		return known ? OptionalLong.of(this.sentAt[index(echo)]) : OptionalLong.empty();
	}

	private static int index(long number) {
		return (int) (number % HISTORY_SIZE);
	}

	private record LastReceived(Peer peer, long sequence) {

		LastReceived orNewer(LastReceived previous) {
			boolean outOfOrder = this.peer.equals(previous.peer) && previous.sequence > this.sequence;
			return outOfOrder ? previous : this;
		}

	}

}
