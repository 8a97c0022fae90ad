package io.masticlane.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
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

	/**
	 * The memory of a response beside its body, in bytes. It makes empty responses count,
	 * of which a caller that never reads could otherwise cause any number.
	 */
	private static final long HEAD_BYTES = 1_024;

	private final Object message;

	private final Consumer<CallerExchange> listener;

	private final boolean headRequest;

	private boolean keepAlive;

	private boolean framed = true;

	private final long begunAt;

	private final long arrivedAt;

	private CallerHandler.Processing processing;

	private FullHttpResponse response;

	private long responseBytes;

	private boolean started;

	private boolean dropped;

	/**
	 * Creates an exchange.
	 * @param message the request, or a {@link RefusedRequest}, which is released when the
	 * exchange is started or dropped
	 * @param begunAt the time at which the first byte of the request was read, in
	 * nanoseconds
	 * @param arrivedAt the time at which its last byte was read, in nanoseconds
	 * @param listener receives the exchange when its response is complete
	 */
	CallerExchange(Object message, long begunAt, long arrivedAt, Consumer<CallerExchange> listener) {
		this.message = message;
		this.begunAt = begunAt;
		this.arrivedAt = arrivedAt;
		this.listener = listener;
		FullHttpRequest request = (message instanceof FullHttpRequest whole) ? whole : null;
		this.headRequest = request != null && request.method().name().equals("HEAD");
		this.keepAlive = request != null && decoderFailure() == null && HttpUtil.isKeepAlive(request);
	}

	/**
	 * Starts the processing of the request, or refuses one that was not read completely.
	 * @param processor creates the processing
	 */
	void start(CallerHandler.Processor processor) {
		this.started = true;
		try {
			Throwable failure = decoderFailure();
			if (this.message instanceof RefusedRequest refused) {
				refuse(refused);
			}
			else if (failure != null) {
				refuse(failure);
			}
			else if (this.message instanceof FullHttpRequest request) {
				this.processing = processor.create(this, request);
				this.processing.start();
			}
		}
		finally {
			ReferenceCountUtil.release(this.message);
		}
	}

	/**
	 * Ends the exchange without a response: a request that runs is ended as if its caller
	 * had left.
	 * @param reason why there is no response
	 */
	void drop(CallerHandler.Disconnection reason) {
		this.dropped = true;
		if (!this.started) {
			ReferenceCountUtil.release(this.message);
		}
		else if (this.response == null) {
			processing().ifPresent((running) -> running.callerDisconnected(reason));
		}
		else {
			this.response.release();
			if (reason.isByGateway()) {
				processing().ifPresent((answered) -> answered.responseCut(reason));
			}
		}
	}

	/**
	 * Ends a request that runs with a response, since the process ends.
	 */
	void gatewayEnds() {
		if (this.response == null && !this.dropped) {
			processing().ifPresent(CallerHandler.Processing::gatewayEnds);
		}
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
	 * Returns the time at which the last byte of the request was read.
	 * @return the time in nanoseconds
	 */
	long arrivedAt() {
		return this.arrivedAt;
	}

	/**
	 * Returns whether the request, which was started, may run more than once.
	 * @return whether others may run concurrently
	 */
	boolean isIdempotent() {
		return processing().map(CallerHandler.Processing::isIdempotent).orElse(false);
	}

	/**
	 * Returns whether the request, which is to be started, may run more than once.
	 * @param processor tells which requests are idempotent
	 * @return whether it may run concurrently with others
	 */
	boolean isIdempotent(CallerHandler.Processor processor) {
		return this.message instanceof FullHttpRequest request && request.decoderResult().isSuccess()
				&& processor.isIdempotent(request);
	}

	boolean isStarted() {
		return this.started;
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
	 * @return the processing, or empty if the request was not started or not read
	 * completely
	 */
	Optional<CallerHandler.Processing> processing() {
		return Optional.ofNullable(this.processing);
	}

	/**
	 * Returns the complete response.
	 * @return the response, or {@code null} before it is complete
	 */
	FullHttpResponse response() {
		return this.response;
	}

	/**
	 * Returns the memory that the complete response occupies until it has left.
	 * @return the number of bytes, with an estimate for the head
	 */
	long responseBytes() {
		return this.responseBytes;
	}

	private Throwable decoderFailure() {
		return (this.message instanceof FullHttpRequest request) ? request.decoderResult().cause() : null;
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
		if (this.dropped) {
			complete.release();
			return;
		}
		this.response = complete;
		this.responseBytes = HEAD_BYTES + complete.content().readableBytes();
		this.listener.accept(this);
	}

	private void setContentLength(FullHttpResponse sized) {
		if (!this.headRequest) {
			HttpUtil.setContentLength(sized, sized.content().readableBytes());
		}
	}

}
