package io.masticlane.fleet;

import java.net.InetSocketAddress;

/**
 * The description of a gateway in the store.
 *
 * @param host the name of its entry host
 * @param incarnation the identifier of its process
 * @param dataCentre its data centre
 * @param region its region
 * @param callerAddress the address that callers connect to
 * @param peerAddress the address that other gateways connect to
 * @param leaving whether it is draining and accepts no new callers
 * @param capacity the resources of its entry host
 */
public record Gateway(String host, String incarnation, String dataCentre, String region,
		InetSocketAddress callerAddress, InetSocketAddress peerAddress, boolean leaving, HostCapacity capacity) {

	/**
	 * Creates the description of a gateway whose capacity is unknown.
	 * @param host the name of its entry host
	 * @param incarnation the identifier of its process
	 * @param dataCentre its data centre
	 * @param region its region
	 * @param callerAddress the address that callers connect to
	 * @param peerAddress the address that other gateways connect to
	 * @param leaving whether it is draining and accepts no new callers
	 */
	public Gateway(String host, String incarnation, String dataCentre, String region, InetSocketAddress callerAddress,
			InetSocketAddress peerAddress, boolean leaving) {
		this(host, incarnation, dataCentre, region, callerAddress, peerAddress, leaving, HostCapacity.UNKNOWN);
	}

}
