package io.masticlane.gateway;

/**
 * Why a request is refused before it is sent to a server.
 *
 * @param reason the reason in one word
 * @param expectedMillis the expected response time in milliseconds, or zero
 * @param latestMillis the latest useful response time in milliseconds, or zero
 * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
 */
record Refusal(String reason, double expectedMillis, double latestMillis, double retryAfterMillis) {

	/**
	 * The delay before a retry after a refusal that load does not determine, in
	 * milliseconds.
	 */
	static final double DEFAULT_RETRY_AFTER_MILLIS = 300;

	/**
	 * The delay before a retry at another gateway after a refusal by a leaving one, in
	 * milliseconds: the time to connect to it.
	 */
	static final double OTHER_GATEWAY_RETRY_AFTER_MILLIS = 50;

	/**
	 * The reason of a refusal because the gateway is leaving.
	 */
	static final String STOPPING = "stopping";

	/**
	 * The reason of a refusal because all servers of a service and region together are
	 * overloaded.
	 */
	static final String OVERLOAD = "overload";

	/**
	 * Creates a refusal that load does not determine.
	 * @param reason the reason in one word
	 * @return the refusal
	 */
	static Refusal of(String reason) {
		return of(reason, DEFAULT_RETRY_AFTER_MILLIS);
	}

	/**
	 * Creates a refusal that load does not determine.
	 * @param reason the reason in one word
	 * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
	 * @return the refusal
	 */
	static Refusal of(String reason, double retryAfterMillis) {
		return new Refusal(reason, 0, 0, retryAfterMillis);
	}

}
