package io.masticlane.backend;

import io.masticlane.steering.AttemptResult;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer to one attempt, on the event loop of the request.
 */
public interface ResponseReceiver {

	/**
	 * Receives the connection on which the request is about to be sent.
	 * @param connection the connection
	 * @param reused whether the connection carried requests before
	 * @return whether the request is still to be sent
	 */
	boolean connectionAcquired(Channel connection, boolean reused);

	/**
	 * Receives the head of the answer.
	 * @param head the head of the answer
	 */
	void headReceived(HttpResponse head);

	/**
	 * Receives a part of the answer's body; the receiver releases it.
	 * @param content the part of the body, the last one included
	 */
	void contentReceived(HttpContent content);

	/**
	 * Receives the end of an attempt whose answer did not arrive whole.
	 * @param end how the attempt ended
	 */
	void attemptFailed(AttemptResult end);

}
