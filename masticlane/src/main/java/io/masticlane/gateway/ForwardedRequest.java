package io.masticlane.gateway;

import io.masticlane.caller.Headers;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Makes the request that a backend server gets of a caller's.
 */
final class ForwardedRequest {

	private ForwardedRequest() {
	}

	/**
	 * Copies a request with the same method, target and body.
	 * @param request the caller's request
	 * @param target the target in origin form
	 * @param dialect the dialect of the platform
	 * @param forwarding what the backend server is to know
	 * @return the request, which is the receiver's to release
	 */
	static FullHttpRequest of(FullHttpRequest request, String target, Dialect dialect, Dialect.Forwarding forwarding) {
		FullHttpRequest copy = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), target,
				request.content().retainedDuplicate());
		copy.headers().set(request.headers());
		Headers.removeHopByHop(copy.headers());
		copy.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		boolean framed = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| HttpUtil.isTransferEncodingChunked(request);
		if (framed || copy.content().isReadable()) {
			HttpUtil.setContentLength(copy, copy.content().readableBytes());
		}
		dialect.forward(copy.headers(), forwarding);
		return copy;
	}

}
