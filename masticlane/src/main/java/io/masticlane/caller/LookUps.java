package io.masticlane.caller;

import java.net.InetAddress;

/**
 * Answers look-ups of the entry hosts to use.
 */
@FunctionalInterface
public interface LookUps {

	/**
	 * Returns the answer to a look-up.
	 * @param client the address of the client
	 * @return the JSON document in UTF-8
	 */
	byte[] response(InetAddress client);

}
