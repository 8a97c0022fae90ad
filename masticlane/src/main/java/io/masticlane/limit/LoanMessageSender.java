package io.masticlane.limit;

import io.masticlane.message.Message;

/**
 * Sends messages about loans and leases to other entry hosts, without a guarantee of
 * delivery.
 */
@FunctionalInterface
public interface LoanMessageSender {

	/**
	 * Sends a message.
	 * @param host the name of the receiving entry host
	 * @param message the message
	 */
	void send(String host, Message message);

}
