package io.masticlane.message;

import java.io.IOException;

/**
 * Tells that received bytes are no message of this protocol.
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
