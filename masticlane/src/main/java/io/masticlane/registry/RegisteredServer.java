package io.masticlane.registry;

import java.net.InetSocketAddress;

/**
 * The entry of a backend server in the store.
 *
 * @param id the identifier of the server
 * @param service the name of its service
 * @param address its address
 * @param dataCentre the data centre in which it is running
 * @param slots the number of requests that it processes concurrently
 * @param leaving whether it is draining and asks for no new requests
 * @param coldMillis the remaining time for which it is cold, in milliseconds
 * @param startedAt the time of its start in milliseconds since the epoch
 * @param sequence the sequence number of this entry since its start
 */
public record RegisteredServer(String id, String service, InetSocketAddress address, String dataCentre, int slots,
		boolean leaving, long coldMillis, long startedAt, long sequence) {

	/**
	 * Returns this entry with another sequence number.
	 * @param other the sequence number
	 * @return the entry
	 */
	public RegisteredServer withSequence(long other) {
		return new RegisteredServer(this.id, this.service, this.address, this.dataCentre, this.slots, this.leaving,
				this.coldMillis, this.startedAt, other);
	}

}
