package io.masticlane.peer;

import io.masticlane.message.Message;

/**
 * Receives what peers send. Called on the peers' event loop.
 */
public interface PeerListener {

	/**
	 * Receives a message.
	 * @param peer the sender
	 * @param message the message
	 */
	void heard(Peer peer, Message message);

	/**
	 * Receives the loss of the last connection to a peer.
	 * @param peer the peer
	 * @param reason why the connection was closed
	 */
	void lost(Peer peer, String reason);

}
