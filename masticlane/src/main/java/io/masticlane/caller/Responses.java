package io.masticlane.caller;

import java.nio.charset.StandardCharsets;

import io.masticlane.failure.Refusal;
import io.masticlane.operation.RecordedResponse;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Builds the responses that the entry host generates itself, and frames those it
 * forwards.
 */
final class Responses {

	private static final long MILLIS_PER_SECOND = 1_000;

	private Responses() {
	}

	static FullHttpResponse json(HttpResponseStatus status, byte[] body, boolean keepAlive) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
			.setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
		if (!keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		return response;
	}

	static FullHttpResponse refusal(Refusal refusal, boolean keepAlive) {
		String body = "{\"kind\":\"" + refusal.kind().text() + "\",\"outcome\":\"" + refusal.outcome().text()
				+ "\",\"retryAfterMillis\":" + refusal.retryAfterMillis() + ",\"message\":\"" + refusal.kind().message()
				+ "\"}\n";
		FullHttpResponse response = json(HttpResponseStatus.valueOf(refusal.kind().status()),
				body.getBytes(StandardCharsets.UTF_8), keepAlive);
		response.headers().set(Headers.OUTCOME, refusal.outcome().text());
		if (refusal.retryAfterMillis() > 0) {
			long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
		}
		return response;
	}

	static FullHttpResponse replay(RecordedResponse recorded, boolean keepAlive) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(recorded.status()), Unpooled.wrappedBuffer(recorded.body()));
		recorded.headers().forEach((header) -> response.headers().add(header.getKey(), header.getValue()));
		response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		if (response.status().code() != HttpResponseStatus.NO_CONTENT.code()) {
			response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, recorded.body().length);
		}
		HttpUtil.setKeepAlive(response, keepAlive);
		return response;
	}

	/**
	 * Sets the message framing of a response that is forwarded from a backend server.
	 * @param head the head of the response
	 * @param request the caller's request
	 * @param keepAlive whether to keep the caller's connection open
	 * @return whether the response is delimited by closing the connection
	 */
	static boolean frame(HttpResponse head, HttpRequest request, boolean keepAlive) {
		boolean chunked = HttpUtil.isTransferEncodingChunked(head);
		boolean withoutBody = request.method().equals(HttpMethod.HEAD)
				|| head.status().equals(HttpResponseStatus.NO_CONTENT)
				|| head.status().equals(HttpResponseStatus.NOT_MODIFIED);
		boolean chunkingUnsupported = !request.protocolVersion().isKeepAliveDefault();
		boolean closeDelimited = !withoutBody && (chunked ? chunkingUnsupported : !HttpUtil.isContentLengthSet(head));
		if (chunked && chunkingUnsupported) {
			head.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		}
		head.setProtocolVersion(HttpVersion.HTTP_1_1);
		HttpUtil.setKeepAlive(head, keepAlive && !closeDelimited);
		return closeDelimited;
	}

}
