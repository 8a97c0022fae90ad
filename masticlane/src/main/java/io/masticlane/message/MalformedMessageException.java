package io.masticlane.message;

import java.io.IOException;

/**
 * Thrown when received bytes are not a valid message of the peer protocol.
 */
public class MalformedMessageException extends IOException {

	/**
	 * Creates a new exception.
	 * @param message what was received and what was expected
	 */
	public MalformedMessageException(String message) {
		super(message);
	}

}
