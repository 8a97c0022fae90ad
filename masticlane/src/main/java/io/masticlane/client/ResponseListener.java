package io.masticlane.client;

import io.netty.handler.codec.http.FullHttpResponse;

/**
 * Receives the end of one call.
 */
public interface ResponseListener {

	/**
	 * Receives an answer, which is released afterwards.
	 * @param answer the whole answer
	 * @return whether the answer belongs to the call; if not, its own is waited for
	 */
	boolean responseReceived(FullHttpResponse answer);

	/**
	 * Receives the end of a call without a whole answer.
	 * @param failure how the call failed
	 * @param detail what was seen
	 */
	void callFailed(Failure failure, String detail);

	/**
	 * How a call fails.
	 */
	enum Failure {

		/**
		 * Nothing of the request can have reached the other end.
		 */
		NOT_SENT,

		/**
		 * The connection ended before the whole answer was read.
		 */
		LOST,

		/**
		 * The answer broke the protocol.
		 */
		MALFORMED

	}

}
