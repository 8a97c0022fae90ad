package io.masticlane.backend;

import io.masticlane.steering.AttemptResult;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one attempt. All methods are called on the event loop of the
 * request.
 */
public interface ResponseReceiver {

	/**
	 * Called when a connection was acquired and the request is about to be sent on it.
	 * @param connection the connection
	 * @param reused whether the connection was used for earlier requests
	 * @return whether to send the request
	 */
	boolean connectionAcquired(Channel connection, boolean reused);

	/**
	 * Called when the status line and headers of the response were received.
	 * @param head the head of the response
	 * @return whether the response names this request. If not, the connection carries no
	 * other request, since its next response could be another one to this request.
	 */
	boolean headReceived(HttpResponse head);

	/**
	 * Called for each part of the response body, including the last. The receiver
	 * releases it.
	 * @param content the part of the body
	 */
	void contentReceived(HttpContent content);

	/**
	 * Called when the attempt ended without a complete response.
	 * @param result the result of the attempt
	 */
	void attemptFailed(AttemptResult result);

}
