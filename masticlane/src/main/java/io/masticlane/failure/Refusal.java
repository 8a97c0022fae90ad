package io.masticlane.failure;

/**
 * The refusal of a request.
 *
 * @param kind the error kind
 * @param outcome what is known about whether the request ran
 * @param retryAfterMillis the milliseconds after which a retry may succeed, or zero
 */
public record Refusal(ErrorKind kind, Outcome outcome, long retryAfterMillis) {

	/**
	 * Creates a refusal with the default outcome of its kind.
	 * @param kind the error kind
	 * @return the refusal
	 */
	public static Refusal of(ErrorKind kind) {
		return new Refusal(kind, kind.outcome(), 0);
	}

	/**
	 * Returns a copy with another outcome.
	 * @param outcome what is known about whether the request ran
	 * @return the copy
	 */
	public Refusal withOutcome(Outcome outcome) {
		return new Refusal(this.kind, outcome, this.retryAfterMillis);
	}

	/**
	 * Returns a copy with a retry time.
	 * @param retryAfterMillis the milliseconds after which a retry may succeed
	 * @return the copy
	 */
	public Refusal withRetryAfterMillis(long retryAfterMillis) {
		return new Refusal(this.kind, this.outcome, retryAfterMillis);
	}

}
