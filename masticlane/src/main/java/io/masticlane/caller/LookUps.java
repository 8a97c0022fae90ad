package io.masticlane.caller;

import java.net.InetAddress;

/**
 * Responds to look-ups of the entry hosts that a client should use.
 */
@FunctionalInterface
public interface LookUps {

	/**
	 * Returns the response to a look-up.
	 * @param client the address of the client
	 * @return the JSON document, encoded in UTF-8
	 */
	byte[] response(InetAddress client);

}
