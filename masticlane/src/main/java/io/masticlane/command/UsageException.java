package io.masticlane.command;

/**
 * Thrown when the command line is invalid.
 */
public class UsageException extends RuntimeException {

	/**
	 * Creates a new exception.
	 * @param message the value that was given and what was expected
	 */
	public UsageException(String message) {
		super(message);
	}

}
