package io.masticlane.store;

/**
 * Thrown when a call to the store has no valid response. A write may have taken effect.
 */
public class StoreException extends RuntimeException {

	/**
	 * Creates a new exception.
	 * @param message the description of the failure
	 * @param cause the cause, or {@code null}
	 */
	public StoreException(String message, Throwable cause) {
		super(message, cause);
	}

}
