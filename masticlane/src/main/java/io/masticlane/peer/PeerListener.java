package io.masticlane.peer;

import io.masticlane.message.Message;

/**
 * Receives messages from peers and the loss of peers. Called on the event loop of the
 * peer connections.
 */
public interface PeerListener {

	/**
	 * Called when a peer has sent a message.
	 * @param peer the sender
	 * @param message the message
	 */
	void messageReceived(Peer peer, Message message);

	/**
	 * Called when the last connection to a peer was closed.
	 * @param peer the peer
	 * @param reason why the connection was closed
	 */
	void peerLost(Peer peer, String reason);

}
