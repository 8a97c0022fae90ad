package io.masticlane.caller;

import java.nio.charset.StandardCharsets;

import io.masticlane.failure.Refusal;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Builds the answers that the entry host gives by itself.
 */
final class Answers {

	private static final long MILLIS_PER_SECOND = 1_000;

	private Answers() {
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

}
