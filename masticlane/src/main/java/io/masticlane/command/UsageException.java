package io.masticlane.command;

/**
 * Tells that the command line is not acceptable.
 */
public class UsageException extends RuntimeException {

	/**
	 * Creates a new exception.
	 * @param message what was given and what was expected
	 */
	public UsageException(String message) {
		super(message);
	}

}
