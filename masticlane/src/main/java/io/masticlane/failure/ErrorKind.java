package io.masticlane.failure;

import java.util.Locale;

/**
 * The closed list of error kinds, each with its answer to a caller.
 */
public enum ErrorKind {

	/**
	 * The request is not well-formed HTTP.
	 */
	MALFORMED_REQUEST(400, Outcome.UNKNOWN, "the request is not well-formed"),

	/**
	 * The request's head or body is larger than accepted.
	 */
	TOO_LARGE(413, Outcome.NOT_RUN, "the request is larger than accepted"),

	/**
	 * No route of any service matches.
	 */
	NO_ROUTE(404, Outcome.NOT_RUN, "no route matches the method and path"),

	/**
	 * A keyed route was asked for without a key.
	 */
	KEY_MISSING(401, Outcome.NOT_RUN, "the route needs a key: Authorization: Bearer identifier.secret"),

	/**
	 * The key is not granted, or was withdrawn.
	 */
	KEY_REFUSED(403, Outcome.NOT_RUN, "the key is not granted"),

	/**
	 * A granted key stands elsewhere than in the Authorization header.
	 */
	KEY_MISPLACED(400, Outcome.NOT_RUN, "a key may stand in the Authorization header alone"),

	/**
	 * An operation came without an idempotency key.
	 */
	OPERATION_KEY_MISSING(400, Outcome.NOT_RUN, "the route needs an Idempotency-Key of 1 to 200 visible characters"),

	/**
	 * The organisation's rate or burst is used up.
	 */
	RATE_EXCEEDED(429, Outcome.NOT_RUN, "the organisation's rate and burst are used up"),

	/**
	 * No backend server can take the request in time.
	 */
	OVERLOADED(503, Outcome.NOT_RUN, "no backend server can take the request in time"),

	/**
	 * The deadline passed.
	 */
	DEADLINE_EXCEEDED(504, Outcome.UNKNOWN, "the deadline passed"),

	/**
	 * The backend server was lost while it had the request.
	 */
	BACKEND_LOST(502, Outcome.UNKNOWN, "the backend server was lost while it had the request"),

	/**
	 * The operation is being run for an earlier attempt.
	 */
	OPERATION_RUNNING(409, Outcome.UNKNOWN, "an earlier attempt at the operation is under way"),

	/**
	 * It cannot be known whether an earlier attempt at the operation ran.
	 */
	OPERATION_UNKNOWN(409, Outcome.UNKNOWN, "an earlier attempt at the operation may have run"),

	/**
	 * The idempotency key was used for another request.
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
	 * The entry host cannot tell whether keys are still granted.
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
	 * Returns the HTTP status of the answer.
	 * @return the HTTP status of the answer
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the outcome that holds unless more is known.
	 * @return the outcome that holds unless more is known
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the explanation for callers.
	 * @return the explanation for callers
	 */
	public String message() {
		return this.message;
	}

	/**
	 * Returns the name in answers, metrics and logs.
	 * @return the name in answers, metrics and logs
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
