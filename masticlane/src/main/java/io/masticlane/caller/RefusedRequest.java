package io.masticlane.caller;

import io.masticlane.failure.ErrorKind;
import io.masticlane.failure.Outcome;
import io.masticlane.failure.Refusal;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * A request that cannot be served because it was not read completely. The refusal is sent
 * in order with the responses to earlier requests, and the connection is closed after it.
 *
 * @param refusal the refusal
 */
public record RefusedRequest(Refusal refusal) {

	/**
	 * The delay before a retry of a request whose body found no memory, in milliseconds:
	 * about the time in which the bodies of other requests are forwarded.
	 */
	private static final long SATURATED_RETRY_AFTER_MILLIS = 500;

	static RefusedRequest tooLarge(HttpHeaders headers) {
		return of(ErrorKind.TOO_LARGE, headers);
	}

	/**
	 * Creates the refusal of a request for whose body there is no memory at present.
	 * @param headers the headers of the request
	 * @return the refused request
	 */
	static RefusedRequest saturated(HttpHeaders headers) {
		RefusedRequest refused = of(ErrorKind.SATURATED, headers);
		return new RefusedRequest(refused.refusal().withRetryAfterMillis(SATURATED_RETRY_AFTER_MILLIS));
	}

	private static RefusedRequest of(ErrorKind kind, HttpHeaders headers) {
		Outcome outcome = headers.contains(Headers.IDEMPOTENCY_KEY) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
		return new RefusedRequest(Refusal.of(kind).withOutcome(outcome));
	}

	/**
	 * Creates the refusal of a request whose head was not read completely. The outcome is
	 * unknown, since the request may name any operation.
	 * @param request the request as far as it was read
	 * @return the refused request
	 */
	static RefusedRequest malformed(FullHttpRequest request) {
		Throwable cause = request.decoderResult().cause();
		boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
		ErrorKind kind = tooLarge ? ErrorKind.TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
		return new RefusedRequest(Refusal.of(kind).withOutcome(Outcome.UNKNOWN));
	}

}
