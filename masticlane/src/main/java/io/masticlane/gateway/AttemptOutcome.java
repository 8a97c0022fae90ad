package io.masticlane.gateway;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Receives the result of the attempts.
 */
interface AttemptOutcome {

	/**
	 * Returns whether the request has ended, whatever the open attempt returns.
	 * @return whether the request has ended
	 */
	boolean isFinished();

	/**
	 * Handles the response of a server.
	 * @param response the response
	 * @param result the result for the metrics
	 */
	void respond(FullHttpResponse response, String result);

	/**
	 * Refuses the request, which has not run.
	 * @param refusal why the request is refused
	 */
	void refuse(Refusal refusal);

	/**
	 * Fails the request, which may have run.
	 * @param reason the reason in one word
	 * @param status the status
	 */
	void fail(String reason, HttpResponseStatus status);

}
