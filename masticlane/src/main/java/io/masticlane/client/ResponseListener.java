package io.masticlane.client;

import io.netty.handler.codec.http.FullHttpResponse;

/**
 * Receives the result of one call.
 */
public interface ResponseListener {

	/**
	 * Handles a response, which is released afterwards.
	 * @param response the complete response
	 * @return what the response means for the call and its connection
	 */
	Disposition responseReceived(FullHttpResponse response);

	/**
	 * Handles the end of a call without a complete response.
	 * @param failure how the call failed
	 * @param detail a description of the cause
	 */
	void callFailed(Failure failure, String detail);

	/**
	 * What a response means for a call and its connection.
	 */
	enum Disposition {

		/**
		 * The response ends the call, and the connection may be reused.
		 */
		COMPLETE,

		/**
		 * The response ends the call, and the connection is closed, since another
		 * response to the call may follow.
		 */
		DOUBTFUL,

		/**
		 * The response belongs to another call. The call keeps waiting, and the
		 * connection is closed after it.
		 */
		UNRELATED

	}

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
