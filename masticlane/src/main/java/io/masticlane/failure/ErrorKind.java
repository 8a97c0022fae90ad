package io.masticlane.failure;

import java.util.Locale;

/**
 * The complete set of error kinds, each with the response that a caller receives.
 */
public enum ErrorKind {

	/**
	 * The request is not well-formed HTTP.
	 */
	MALFORMED_REQUEST(400, Outcome.UNKNOWN, "the request is not well-formed"),

	/**
	 * The head or body of the request exceeds the accepted size.
	 */
	TOO_LARGE(413, Outcome.NOT_RUN, "the request is larger than accepted"),

	/**
	 * No route of any service matches the request.
	 */
	NO_ROUTE(404, Outcome.NOT_RUN, "no route matches the method and path"),

	/**
	 * A request to a keyed route has no key.
	 */
	KEY_MISSING(401, Outcome.NOT_RUN, "the route needs a key: Authorization: Bearer identifier.secret"),

	/**
	 * The key is invalid or was revoked.
	 */
	KEY_REFUSED(403, Outcome.NOT_RUN, "the key is not granted"),

	/**
	 * A valid key was sent elsewhere than in the Authorization header.
	 */
	KEY_MISPLACED(400, Outcome.NOT_RUN, "a key may stand in the Authorization header alone"),

	/**
	 * A request for an operation has no idempotency key.
	 */
	OPERATION_KEY_MISSING(400, Outcome.NOT_RUN, "the route needs an Idempotency-Key of 1 to 200 visible characters"),

	/**
	 * The organisation exceeded its rate and burst.
	 */
	RATE_EXCEEDED(429, Outcome.NOT_RUN, "the organisation's rate and burst are used up"),

	/**
	 * No backend server can process the request in time.
	 */
	OVERLOADED(503, Outcome.NOT_RUN, "no backend server can take the request in time"),

	/**
	 * The deadline passed.
	 */
	DEADLINE_EXCEEDED(504, Outcome.UNKNOWN, "the deadline passed"),

	/**
	 * The connection to the backend server was lost after the request was sent.
	 */
	BACKEND_LOST(502, Outcome.UNKNOWN, "the backend server was lost while it had the request"),

	/**
	 * An earlier attempt at the operation is still running.
	 */
	OPERATION_RUNNING(409, Outcome.UNKNOWN, "an earlier attempt at the operation is under way"),

	/**
	 * It is unknown whether an earlier attempt at the operation ran.
	 */
	OPERATION_UNKNOWN(409, Outcome.UNKNOWN, "an earlier attempt at the operation may have run"),

	/**
	 * The idempotency key was already used for a different request.
	 */
	OPERATION_MISMATCHED(422, Outcome.UNKNOWN, "the Idempotency-Key was used for another request"),

	/**
	 * The entry host has no configuration yet.
	 */
	NOT_READY(503, Outcome.NOT_RUN, "the entry host has no configuration in force"),

	/**
	 * The entry host is stopping.
	 */
	SHUTTING_DOWN(503, Outcome.NOT_RUN, "the entry host is stopping"),

	/**
	 * A ring, queue or table of the entry host is full.
	 */
	SATURATED(503, Outcome.NOT_RUN, "the entry host is saturated"),

	/**
	 * The entry host has reached neither the store nor a majority of the entry hosts for
	 * too long, so it does not know which keys were revoked.
	 */
	STALE(503, Outcome.NOT_RUN, "the entry host has been cut off for too long");

	private final int status;

	private final Outcome outcome;

	private final String message;

	ErrorKind(int status, Outcome outcome, String message) {
		this.status = status;
		this.outcome = outcome;
		this.message = message;
	}

	/**
	 * Returns the HTTP status of the response.
	 * @return the HTTP status of the response
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the default outcome, which applies unless more is known of the request.
	 * @return the default outcome
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the message in the response body.
	 * @return the message in the response body
	 */
	public String message() {
		return this.message;
	}

	/**
	 * Returns the name in responses, metrics and logs.
	 * @return the name in responses, metrics and logs
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
