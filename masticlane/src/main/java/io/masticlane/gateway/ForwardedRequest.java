package io.masticlane.gateway;

import io.masticlane.caller.Headers;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Creates the request to a backend server from a caller's request.
 */
final class ForwardedRequest {

	private ForwardedRequest() {
	}

	/**
	 * Copies the method, headers and body of a request.
	 * @param request the caller's request
	 * @param target the target in origin form
	 * @param dialect the dialect of the platform
	 * @param forwarding the values for the backend server
	 * @return the request, which the recipient releases
	 */
	static FullHttpRequest of(FullHttpRequest request, String target, Dialect dialect, Dialect.Forwarding forwarding) {
		FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), target,
				request.content().retainedDuplicate());
		copy.headers().set(request.headers());
		Headers.removeHopByHop(copy.headers());
		copy.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		boolean hasBody = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| HttpUtil.isTransferEncodingChunked(request);
		if (hasBody || copy.content().isReadable()) {
			HttpUtil.setContentLength(copy, copy.content().readableBytes());
		}
		dialect.forward(copy.headers(), forwarding);
		return copy;
	}

}
