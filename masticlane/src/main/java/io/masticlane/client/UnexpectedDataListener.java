package io.masticlane.client;

import java.net.InetSocketAddress;

/**
 * Notified when data is received on a connection on which no call awaits a response.
 */
@FunctionalInterface
public interface UnexpectedDataListener {

	/**
	 * Handles unexpected data, after which the connection is closed.
	 * @param address the address of the other end
	 * @param lastUse the last use of the connection
	 * @param data a description of the data
	 */
	void dataReceived(InetSocketAddress address, ConnectionUse lastUse, String data);

}
