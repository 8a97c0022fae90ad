package io.masticlane.fleet;

import java.net.InetSocketAddress;

/**
 * A gateway as it describes itself in the store.
 *
 * @param host the name of its entry host
 * @param incarnation the identifier of its process
 * @param dataCentre its data centre
 * @param region its region
 * @param callerAddress the address for callers
 * @param peerAddress the address for other gateways
 * @param leaving whether it takes no new callers
 */
public record Gateway(String host, String incarnation, String dataCentre, String region,
		InetSocketAddress callerAddress, InetSocketAddress peerAddress, boolean leaving) {
}
