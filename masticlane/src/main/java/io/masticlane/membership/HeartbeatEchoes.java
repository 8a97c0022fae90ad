package io.masticlane.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import io.masticlane.peer.Peer;

/**
 * Bounds the time at which a peer sent a heartbeat: not before this process sent the one
 * that it echoes. Used on the decisions' thread alone.
 */
public final class HeartbeatEchoes {

	private static final int KEPT = 256;

	private final long[] sentAt = new long[KEPT];

	private final Map<String, LastHeard> heard = new HashMap<>();

	private long sequence;

	/**
	 * Notes that the next heartbeat is sent to all peers.
	 * @param now the present in nanoseconds
	 * @return the sequence of the heartbeat
	 */
	public long nextSequence(long now) {
		this.sequence++;
		this.sentAt[index(this.sequence)] = now;
		return this.sequence;
	}

	/**
	 * Notes the sequence of a heartbeat that a peer sent.
	 * @param peer the peer
	 * @param heardSequence the sequence of its heartbeat
	 */
	public void receive(Peer peer, long heardSequence) {
		this.heard.merge(peer.host(), new LastHeard(peer, heardSequence), (former, next) -> next.after(former));
	}

	/**
	 * Returns the sequence to echo to a peer.
	 * @param peer the peer
	 * @return the last sequence heard from its process, or zero
	 */
	public long echo(Peer peer) {
		LastHeard last = this.heard.get(peer.host());
		return (last != null && last.peer().equals(peer)) ? last.sequence() : 0;
	}

	/**
	 * Returns the time before which a heartbeat with an echo cannot have been sent.
	 * @param echo the echo that came with the heartbeat
	 * @return the time in nanoseconds, or nothing if the echo is zero or too old
	 */
	public OptionalLong sentNotBefore(long echo) {
		boolean known = echo > 0 && echo <= this.sequence && echo > this.sequence - KEPT;
		return known ? OptionalLong.of(this.sentAt[index(echo)]) : OptionalLong.empty();
	}

	private static int index(long number) {
		return (int) (number % KEPT);
	}

	private record LastHeard(Peer peer, long sequence) {

		LastHeard after(LastHeard former) {
			boolean late = this.peer.equals(former.peer) && former.sequence > this.sequence;
			return late ? former : this;
		}

	}

}
