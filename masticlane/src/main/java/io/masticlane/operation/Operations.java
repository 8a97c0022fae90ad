package io.masticlane.operation;

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
	void claim(String organisation, String operation, VerdictReceiver answer);

	/**
	 * Returns a granted right, since the operation was certainly not run.
	 * @param organisation the organisation whose key came with the request
	 * @param operation the idempotency key of the request
	 */
	void release(String organisation, String operation);

	/**
	 * Receives the verdict on a claim.
	 */
	@FunctionalInterface
	interface VerdictReceiver {

		/**
		 * Receives the verdict.
		 * @param verdict the verdict
		 * @param now the present on the monotonic clock in nanoseconds
		 */
		void receive(Verdict verdict, long now);

	}

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
