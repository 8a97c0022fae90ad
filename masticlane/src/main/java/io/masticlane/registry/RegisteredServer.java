package io.masticlane.registry;

import java.net.InetSocketAddress;

/**
 * The entry that a backend server keeps of itself.
 *
 * @param id the identifier of the server
 * @param service the name of its service
 * @param address its address
 * @param dataCentre the data centre in which it stands
 * @param slots the requests that it processes at once
 * @param leaving whether it asks for no new requests
 * @param coldMillis how much longer it stays cold, in milliseconds
 * @param startedAt the time of its start in milliseconds of the epoch
 * @param sequence the number of this entry since its start
 */
public record RegisteredServer(String id, String service, InetSocketAddress address, String dataCentre, int slots,
		boolean leaving, long coldMillis, long startedAt, long sequence) {
}
