package io.masticlane.operation;

import java.util.function.Consumer;

/**
 * Decides which attempt may run an operation, so that it runs at most once.
 */
public interface Operations {

	/**
	 * Claims the right to run an operation.
	 * @param organisation the organisation whose key came with the request
	 * @param operation the idempotency key of the request
	 * @param answer the receiver of the verdict, on the decisions' thread
	 */
	void claim(String organisation, String operation, Consumer<Verdict> answer);

	/**
	 * Returns a granted right, since the operation was certainly not run.
	 * @param organisation the organisation whose key came with the request
	 * @param operation the idempotency key of the request
	 */
	void release(String organisation, String operation);

	/**
	 * The verdict on a claim.
	 */
	enum Verdict {

		/**
		 * The operation may be run by this attempt alone.
		 */
		GRANTED,

		/**
		 * An earlier attempt at the operation may have run or may still run it.
		 */
		UNKNOWN

	}

}
