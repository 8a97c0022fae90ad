package io.masticlane.operation;

import java.util.Optional;

/**
 * Decides which attempt may run an operation, so that it runs at most once; used on the
 * decisions' thread alone.
 */
public interface Operations {

	/**
	 * Claims the right to run an operation.
	 * @param operation the operation
	 * @param now the present on the monotonic clock in nanoseconds
	 * @param receiver the receiver of the verdict, on the decisions' thread
	 */
	void claim(Operation operation, long now, VerdictReceiver receiver);

	/**
	 * Tells whether it is known that no attempt at an operation has run or is running.
	 * @param operation the operation
	 * @return whether no attempt has run or is running
	 */
	boolean knownNotRun(Operation operation);

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
	 * The right to run an operation once.
	 */
	interface Grant {

		/**
		 * Returns the right, since the operation was certainly not run.
		 */
		void release();

		/**
		 * Tells that the attempt ended.
		 * @param answer the whole answer, if there was one and it is small enough
		 */
		void end(Optional<RecordedAnswer> answer);

		/**
		 * The grant of a request that needs none.
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
			public void end(Optional<RecordedAnswer> answer) {
			}

		}

	}

	/**
	 * The verdict on a claim.
	 *
	 * @param kind the kind of verdict
	 * @param grant the granted right, which does nothing unless the claim was granted
	 * @param answer the answer to an earlier attempt, if it is kept
	 */
	record Verdict(Kind kind, Grant grant, Optional<RecordedAnswer> answer) {

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
			 * The operation may be run by this attempt alone.
			 */
			GRANTED,

			/**
			 * An earlier attempt at the operation is running.
			 */
			RUNNING,

			/**
			 * An earlier attempt was answered, and the answer is kept.
			 */
			ANSWERED,

			/**
			 * The idempotency key was used for another request.
			 */
			MISMATCHED,

			/**
			 * No attempt has run, and the table of operations has no room.
			 */
			FULL,

			/**
			 * An earlier attempt at the operation may have run or may still run.
			 */
			UNKNOWN

		}

	}

}
