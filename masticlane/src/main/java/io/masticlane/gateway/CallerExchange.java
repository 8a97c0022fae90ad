package io.masticlane.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.masticlane.caller.Headers;
import io.masticlane.caller.RefusedRequest;
import io.masticlane.failure.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

/**
 * One request of a caller's connection and the response to it.
 */
final class CallerExchange {

	private final Object message;

	private final Consumer<CallerExchange> listener;

	private final boolean headRequest;

	private boolean keepAlive;

	private boolean framed = true;

	private long begunAt;

	private CallerHandler.Processing processing;

	private FullHttpResponse response;

	/**
	 * Creates an exchange.
	 * @param message the request, or a {@link RefusedRequest}, which is released when the
	 * exchange is started or discarded
	 * @param listener receives the exchange when its response is complete
	 */
	CallerExchange(Object message, Consumer<CallerExchange> listener) {
		this.message = message;
		this.listener = listener;
		FullHttpRequest request = (message instanceof FullHttpRequest whole) ? whole : null;
		this.headRequest = request != null && request.method().name().equals("HEAD");
		this.keepAlive = request != null && request.decoderResult().cause() == null && HttpUtil.isKeepAlive(request);
	}

	/**
	 * Starts the processing of the request, or refuses one that was not read completely.
	 * @param processor creates the processing
	 * @param firstByteAt the time at which the first byte of the request was read, in
	 * nanoseconds
	 */
	void start(CallerHandler.Processor processor, long firstByteAt) {
		this.begunAt = firstByteAt;
		if (this.message instanceof RefusedRequest refused) {
			refuse(refused);
		}
		else if (this.message instanceof FullHttpRequest request) {
			Throwable failure = request.decoderResult().cause();
			if (failure != null) {
				refuse(failure);
			}
			else {
				this.processing = processor.create(this, request);
				this.processing.start();
			}
		}
		ReferenceCountUtil.release(this.message);
	}

	/**
	 * Discards a request that was not started.
	 */
	void discard() {
		ReferenceCountUtil.release(this.message);
	}

	/**
	 * Forwards the response of a backend server to the caller. A response that ends with
	 * its connection gets no length, since it may have broken off.
	 * @param received the response, whose content this method retains
	 */
	void forwardResponse(FullHttpResponse received) {
		FullHttpResponse copy = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, received.status(),
				received.content().retain());
		copy.headers().set(received.headers());
		Headers.removeHopByHop(copy.headers());
		copy.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		boolean withoutBody = this.headRequest || received.status().equals(HttpResponseStatus.NO_CONTENT)
				|| received.status().equals(HttpResponseStatus.NOT_MODIFIED);
		this.framed = HttpUtil.isContentLengthSet(received) || HttpUtil.isTransferEncodingChunked(received)
				|| withoutBody;
		this.keepAlive &= this.framed;
		if (this.framed) {
			setContentLength(copy);
		}
		finish(copy);
	}

	/**
	 * Sends an error response of the gateway itself.
	 * @param status the status
	 * @param text the reason in one line
	 * @param retryAfterSeconds the delay after which the caller may retry, if it may
	 */
	void sendError(HttpResponseStatus status, String text, OptionalDouble retryAfterSeconds) {
		ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
		FullHttpResponse error = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		error.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		retryAfterSeconds.ifPresent((seconds) -> error.headers()
			.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds)));
		setContentLength(error);
		finish(error);
	}

	/**
	 * Returns the time at which the first byte of the request was read.
	 * @return the time in nanoseconds
	 */
	long begunAt() {
		return this.begunAt;
	}

	/**
	 * Returns whether the connection may stay open after the response, as far as is
	 * known.
	 * @return whether other responses may follow
	 */
	boolean keepsAlive() {
		return this.keepAlive;
	}

	/**
	 * Returns whether the end of the response can be told without the end of its
	 * connection.
	 * @return whether the response has a length
	 */
	boolean isFramed() {
		return this.framed;
	}

	/**
	 * Returns the processing of the request.
	 * @return the processing, or {@code null} if the request was not read completely
	 */
	CallerHandler.Processing processing() {
		return this.processing;
	}

	/**
	 * Returns the complete response.
	 * @return the response, or {@code null} before it is complete
	 */
	FullHttpResponse response() {
		return this.response;
	}

	private void refuse(RefusedRequest refused) {
		if (refused.refusal().kind() == ErrorKind.TOO_LARGE) {
			sendError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large", OptionalDouble.empty());
		}
		else {
			sendError(HttpResponseStatus.SERVICE_UNAVAILABLE, "not run: no memory for the body",
					OptionalDouble.of(refused.refusal().retryAfterMillis() / (double) TimeUnit.SECONDS.toMillis(1)));
		}
	}

	private void refuse(Throwable decoderFailure) {
		boolean tooLong = decoderFailure instanceof TooLongHttpHeaderException
				|| decoderFailure instanceof TooLongHttpLineException;
		sendError(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
				"the request cannot be read", OptionalDouble.empty());
	}

	private void finish(FullHttpResponse complete) {
		this.response = complete;
		this.listener.accept(this);
	}

	private void setContentLength(FullHttpResponse sized) {
		if (!this.headRequest) {
			HttpUtil.setContentLength(sized, sized.content().readableBytes());
		}
	}

}
