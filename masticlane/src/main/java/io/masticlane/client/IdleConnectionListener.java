package io.masticlane.client;

import java.net.InetSocketAddress;

/**
 * Notified of what the other end does on a connection on which no call awaits a response.
 */
@FunctionalInterface
public interface IdleConnectionListener {

	/**
	 * Handles unexpected data, after which the connection is closed.
	 * @param address the address of the other end
	 * @param lastUse the last use of the connection
	 * @param data a description of the data
	 */
	void dataReceived(InetSocketAddress address, ConnectionUse lastUse, String data);

	/**
	 * Handles a connection that the other end closed or did not accept.
	 * @param address the address of the other end
	 */
	default void connectionClosed(InetSocketAddress address) {
	}

}
