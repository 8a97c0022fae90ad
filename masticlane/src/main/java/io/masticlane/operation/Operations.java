package io.masticlane.operation;

import java.util.Optional;

/**
 * Decides which attempt may run an operation, so that the operation runs at most once.
 * Not thread-safe; called on the decisions thread only.
 */
public interface Operations {

	/**
	 * Claims the right to run an operation.
	 * @param operation the operation
	 * @param now the current time of the monotonic clock in nanoseconds
	 * @param receiver receives the verdict on the decisions thread
	 */
	void claim(Operation operation, long now, VerdictReceiver receiver);

	/**
	 * Returns whether it is certain that no attempt at an operation has run or is
	 * running.
	 * @param operation the operation
	 * @return whether it is certain; {@code false} if this process can't know
	 */
	boolean isKnownNotRun(Operation operation);

	/**
	 * Receives the verdict on a claim.
	 */
	@FunctionalInterface
	interface VerdictReceiver {

		/**
		 * Receives the verdict.
		 * @param verdict the verdict
		 * @param now the current time of the monotonic clock in nanoseconds
		 */
		void receive(Verdict verdict, long now);

	}

	/**
	 * The right to run an operation once.
	 */
	interface Grant {

		/**
		 * Releases the grant, because the operation was certainly not run.
		 */
		void release();

		/**
		 * Records that the attempt ended.
		 * @param response the complete response, or nothing if there was none or it was
		 * too large to record
		 */
		void end(Optional<RecordedResponse> response);

		/**
		 * A grant that does nothing, for a request that needs no claim.
		 */
		enum NoOp implements Grant {

			/**
			 * The only instance.
			 */
			INSTANCE;

			@Override
			public void release() {
			}

			@Override
			public void end(Optional<RecordedResponse> response) {
			}

		}

	}

	/**
	 * The verdict on a claim.
	 *
	 * @param kind the kind of verdict
	 * @param grant the grant, which does nothing unless the claim was granted
	 * @param response the recorded response to an earlier attempt, if there is one
	 */
	record Verdict(Kind kind, Grant grant, Optional<RecordedResponse> response) {

		static Verdict of(Kind kind) {
			return new Verdict(kind, Grant.NoOp.INSTANCE, Optional.empty());
		}

		static Verdict granted(Grant grant) {
			return new Verdict(Kind.GRANTED, grant, Optional.empty());
		}

		/**
		 * The kind of a verdict.
		 */
		public enum Kind {

			/**
			 * Only this attempt may run the operation.
			 */
			GRANTED,

			/**
			 * An earlier attempt at the operation is still running.
			 */
			RUNNING,

			/**
			 * An earlier attempt has a recorded response.
			 */
			ANSWERED,

			/**
			 * The idempotency key was used for a different request.
			 */
			MISMATCHED,

			/**
			 * No attempt has run, and the ledger of operations is full.
			 */
			FULL,

			/**
			 * An earlier attempt at the operation may have run or may still run.
			 */
			UNKNOWN

		}

	}

}
