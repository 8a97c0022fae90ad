package io.masticlane.plan;

/**
 * What the requests of a route are, which decides whether they may run more than once.
 */
public enum RouteKind {

	/**
	 * May run more than once.
	 */
	IDEMPOTENT,

	/**
	 * Runs at most once.
	 */
	NON_IDEMPOTENT,

	/**
	 * May run more than once and has a large response.
	 */
	DOWNLOAD;

	/**
	 * Returns whether a request may run more than once.
	 * @return whether a request may run more than once
	 */
	public boolean isIdempotent() {
		return this != NON_IDEMPOTENT;
	}

}
