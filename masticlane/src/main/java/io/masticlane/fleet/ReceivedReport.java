package io.masticlane.fleet;

import io.masticlane.message.Message;
import io.masticlane.peer.Peer;

/**
 * A report of another gateway as this one received it.
 *
 * @param origin the gateway that the report is of
 * @param sequence the number of the report since the start of the origin
 * @param report the report
 * @param receivedAt the time at which the report left its origin, in nanoseconds of this
 * process; the latency of the network is not known and left out
 * @param direct whether the report came from its origin without a relay
 */
public record ReceivedReport(Peer origin, long sequence, Message.GatewayReport report, long receivedAt,
		boolean direct) {

	/**
	 * Returns whether this report is newer than another one of the same host. Copies of a
	 * report arrive from several relays, and one of an earlier process may arrive late.
	 * @param other the other report
	 * @return whether this report is newer
	 */
	public boolean isNewerThan(ReceivedReport other) {
		return this.origin.incarnation().equals(other.origin.incarnation()) ? this.sequence > other.sequence
				: this.receivedAt - other.receivedAt > 0;
	}

}
