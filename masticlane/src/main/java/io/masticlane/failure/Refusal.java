package io.masticlane.failure;

/**
 * A refusal of a request.
 *
 * @param kind the error kind
 * @param outcome what is known of whether the request ran
 * @param retryAfterMillis the time after which a retry may succeed, or zero
 */
public record Refusal(ErrorKind kind, Outcome outcome, long retryAfterMillis) {

	/**
	 * Creates a new refusal with the kind's usual outcome.
	 * @param kind the error kind
	 * @return the refusal
	 */
	public static Refusal of(ErrorKind kind) {
		return new Refusal(kind, kind.outcome(), 0);
	}

	/**
	 * Returns this refusal with another outcome.
	 * @param outcome what is known of whether the request ran
	 * @return the changed refusal
	 */
	public Refusal withOutcome(Outcome outcome) {
		return new Refusal(this.kind, outcome, this.retryAfterMillis);
	}

	/**
	 * Returns this refusal with a time to retry.
	 * @param retryAfterMillis the time after which a retry may succeed
	 * @return the changed refusal
	 */
	public Refusal withRetryAfterMillis(long retryAfterMillis) {
		return new Refusal(this.kind, this.outcome, retryAfterMillis);
	}

}
