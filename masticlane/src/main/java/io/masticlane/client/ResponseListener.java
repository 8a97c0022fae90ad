package io.masticlane.client;

import io.netty.handler.codec.http.FullHttpResponse;

/**
 * Receives the result of one call.
 */
public interface ResponseListener {

	/**
	 * Handles a response, which is released afterwards.
	 * @param response the complete response
	 * @return whether the response is for the call; if not, the call keeps waiting
	 */
	boolean responseReceived(FullHttpResponse response);

	/**
	 * Handles the end of a call without a complete response.
	 * @param failure how the call failed
	 * @param detail a description of the cause
	 */
	void callFailed(Failure failure, String detail);

	/**
	 * The ways in which a call fails.
	 */
	enum Failure {

		/**
		 * No part of the request can have reached the other end.
		 */
		NOT_SENT,

		/**
		 * The connection was closed before the complete response was read.
		 */
		LOST,

		/**
		 * The response violates the protocol.
		 */
		MALFORMED

	}

}
