package io.masticlane.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.masticlane.caller.Headers;
import io.masticlane.caller.LingeringClose;
import io.masticlane.caller.RefusedRequest;
import io.masticlane.failure.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
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
 * Handles the connection of a caller and processes its requests one after the other.
 */
final class CallerHandler extends SimpleChannelInboundHandler<Object> {

	/**
	 * The limit of pipelined requests that wait on a connection. Those beyond it are not
	 * run, and the connection is closed after the responses to the others.
	 */
	private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

	private final Processor processor;

	private final BooleanSupplier leaving;

	private final ReadTimeoutTracker timeouts;

	/**
	 * The requests that wait for the response to an earlier one, including the next one
	 * until it is begun, so that none can overtake it.
	 */
	private final Deque<Object> pipelined = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private Processing current;

	private boolean keepAlive;

	private boolean headRequest;

	/**
	 * Whether requests beyond the limit of pipelined ones were left out.
	 */
	private boolean overfull;

	/**
	 * Whether nothing more is processed, and the connection ends after the last write.
	 */
	private boolean closing;

	private ChannelFuture lastWrite;

	/**
	 * The processing of the response after which the connection ends, until it is known
	 * whether the caller received it.
	 */
	private Processing unconfirmed;

	/**
	 * The progress of the response that is being written, when it was last looked at.
	 */
	private long writeProgress;

	private Disconnection disconnection = Disconnection.CALLER;

	/**
	 * Creates a handler.
	 * @param processor starts the processing of each request
	 * @param leaving whether the gateway is leaving, after which connections are closed
	 * @param timeouts tracks the timeouts of the connection
	 */
	CallerHandler(Processor processor, BooleanSupplier leaving, ReadTimeoutTracker timeouts) {
		this.processor = processor;
		this.leaving = leaving;
		this.timeouts = timeouts;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		this.lastWrite = added.newSucceededFuture();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext read, Object message) {
		if (this.closing || this.overfull) {
			// The connection ends with an earlier response.
			return;
		}
		this.timeouts.requestReceived();
		if (this.current == null && this.pipelined.isEmpty()) {
			begin(message);
		}
		else if (this.pipelined.size() >= MAXIMUM_PIPELINED_REQUESTS) {
			this.overfull = true;
		}
		else {
			this.pipelined.add(ReferenceCountUtil.retain(message));
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		discardPipelined();
		if (this.current != null) {
			Processing disconnected = this.current;
			this.current = null;
			disconnected.callerDisconnected(this.disconnection);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		close((cause instanceof IOException) ? Disconnection.CALLER : Disconnection.EXCEPTION);
	}

	/**
	 * Forwards the response of a backend server to the caller. A response that ends with
	 * its connection gets no length, since it may have broken off.
	 * @param response the response, whose content this method retains
	 */
	void forwardResponse(FullHttpResponse response) {
		FullHttpResponse copy = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(),
				response.content().retain());
		copy.headers().set(response.headers());
		Headers.removeHopByHop(copy.headers());
		copy.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		boolean framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
		boolean withoutBody = this.headRequest || response.status().equals(HttpResponseStatus.NO_CONTENT)
				|| response.status().equals(HttpResponseStatus.NOT_MODIFIED);
		this.keepAlive &= framed || withoutBody;
		if (framed || withoutBody) {
			setContentLength(copy);
			finish(copy);
		}
		else {
			LingeringClose.resetOnClose(this.context.channel(), true);
			finish(copy);
			this.lastWrite.addListener((written) -> LingeringClose.resetOnClose(this.context.channel(), false));
		}
	}

	/**
	 * Sends an error response of the gateway itself.
	 * @param status the status
	 * @param text the reason in one line
	 * @param retryAfterSeconds the delay after which the caller may retry, if it may
	 */
	void sendError(HttpResponseStatus status, String text, OptionalDouble retryAfterSeconds) {
		ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		retryAfterSeconds.ifPresent((seconds) -> response.headers()
			.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds)));
		setContentLength(response);
		finish(response);
	}

	/**
	 * Closes the connection unless a request on it is in flight or has been read in part.
	 */
	void closeIfIdle() {
		if (this.current == null && this.pipelined.isEmpty() && !this.timeouts.isReading()) {
			closeAfterLastWrite();
		}
	}

	/**
	 * Closes the connection since the caller exceeded a timeout, unless it is still
	 * reading a response.
	 */
	void closeTimedOut() {
		if (this.lastWrite.isDone()) {
			closeAfterLastWrite();
		}
		else if (this.writeProgress != currentWriteProgress()) {
			this.writeProgress = currentWriteProgress();
			this.timeouts.responseProgressed();
		}
		else {
			close(Disconnection.TIMEOUT);
		}
	}

	/**
	 * Returns whether a request or a response would be lost if the process ended now, as
	 * far as is known.
	 * @return whether the end of the connection is awaited
	 */
	boolean isAwaited() {
		return !this.closing || !this.lastWrite.isDone() || this.unconfirmed != null;
	}

	/**
	 * Reports the last response if the caller may not have received it by the end of the
	 * process.
	 */
	void processEnds() {
		if (!this.lastWrite.isDone()) {
			close(Disconnection.PROCESS_END);
		}
		else {
			reportUnconfirmed(Disconnection.PROCESS_END);
		}
	}

	/**
	 * Ends the request in flight, if there is one, since the process ends.
	 */
	void endInFlight() {
		if (this.current != null) {
			this.current.gatewayEnds();
		}
	}

	/**
	 * Returns the time at which the first byte of the last request was read.
	 * @return the time in nanoseconds
	 */
	long requestBegunAt() {
		return this.timeouts.requestBegunAt();
	}

	private void begin(Object message) {
		if (message instanceof FullHttpRequest request) {
			begin(request);
		}
		else if (message instanceof RefusedRequest refused) {
			this.headRequest = false;
			this.keepAlive = false;
			if (refused.refusal().kind() == ErrorKind.TOO_LARGE) {
				sendError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large", OptionalDouble.empty());
			}
			else {
				sendError(HttpResponseStatus.SERVICE_UNAVAILABLE, "not run: no memory for the body", OptionalDouble
					.of(refused.refusal().retryAfterMillis() / (double) TimeUnit.SECONDS.toMillis(1)));
			}
		}
	}

	private void beginNext() {
		Object next = this.pipelined.poll();
		if (next != null) {
			this.timeouts.requestReceived();
			begin(next);
			ReferenceCountUtil.release(next);
		}
	}

	private void begin(FullHttpRequest request) {
		Throwable decoderFailure = request.decoderResult().cause();
		this.headRequest = request.method().name().equals("HEAD");
		this.keepAlive = decoderFailure == null && HttpUtil.isKeepAlive(request);
		if (decoderFailure != null) {
			boolean tooLong = decoderFailure instanceof TooLongHttpHeaderException
					|| decoderFailure instanceof TooLongHttpLineException;
			sendError(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
					"the request cannot be read", OptionalDouble.empty());
			return;
		}
		Processing processing = this.processor.create(this, request);
		this.current = processing;
		processing.start();
	}

	private void close(Disconnection reason) {
		this.disconnection = reason;
		this.context.close();
	}

	private void finish(FullHttpResponse response) {
		Processing answered = this.current;
		this.current = null;
		this.timeouts.responseSent();
		boolean close = !this.keepAlive || this.pipelined.isEmpty() && (this.overfull || this.leaving.getAsBoolean());
		if (close) {
			response.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		this.lastWrite = this.context.writeAndFlush(response).addListener((written) -> {
			if (!written.isSuccess()) {
				this.unconfirmed = null;
				reportCut(answered);
				this.context.close();
			}
		});
		this.writeProgress = currentWriteProgress();
		if (close) {
			this.unconfirmed = answered;
			closeAfterLastWrite();
		}
		else if (!this.pipelined.isEmpty()) {
			this.context.executor().execute(this::beginNext);
		}
	}

	/**
	 * Returns a number that grows with each byte that is written. The progress alone
	 * starts again at zero with each segment of a response.
	 * @return the progress
	 */
	private long currentWriteProgress() {
		ChannelOutboundBuffer unwritten = this.context.channel().unsafe().outboundBuffer();
		return (unwritten != null) ? unwritten.currentProgress() - unwritten.totalPendingWriteBytes() : 0;
	}

	private void closeAfterLastWrite() {
		if (!this.closing) {
			this.closing = true;
			discardPipelined();
			LingeringClose.after(this.lastWrite, this::connectionClosed);
		}
	}

	private void connectionClosed(LingeringClose.Outcome outcome) {
		if (outcome == LingeringClose.Outcome.RESET) {
			reportUnconfirmed(Disconnection.CALLER);
		}
		else if (outcome == LingeringClose.Outcome.TIMED_OUT) {
			reportUnconfirmed(Disconnection.TIMEOUT);
		}
	}

	private void reportCut(Processing answered) {
		if (answered != null && this.disconnection != Disconnection.CALLER) {
			answered.responseCut(this.disconnection);
		}
	}

	private void reportUnconfirmed(Disconnection reason) {
		if (this.unconfirmed != null) {
			this.unconfirmed.responseUnconfirmed(reason);
			this.unconfirmed = null;
		}
	}

	private void setContentLength(FullHttpResponse response) {
		if (!this.headRequest) {
			HttpUtil.setContentLength(response, response.content().readableBytes());
		}
	}

	private void discardPipelined() {
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
	}

	/**
	 * Creates the processing of a request.
	 */
	@FunctionalInterface
	interface Processor {

		/**
		 * Creates the processing of a request.
		 * @param caller the connection, which receives exactly one response
		 * @param request the request, which the processing retains
		 * @return the processing, not yet started
		 */
		Processing create(CallerHandler caller, FullHttpRequest request);

	}

	/**
	 * Why a caller's connection ended.
	 */
	enum Disconnection {

		/**
		 * The caller closed or reset it.
		 */
		CALLER,

		/**
		 * The caller exceeded a timeout.
		 */
		TIMEOUT,

		/**
		 * The process ended.
		 */
		PROCESS_END,

		/**
		 * A message could not be processed.
		 */
		EXCEPTION

	}

	/**
	 * The processing of one request.
	 */
	interface Processing {

		/**
		 * Starts the processing.
		 */
		void start();

		/**
		 * Handles the loss of the caller's connection.
		 * @param reason why the connection ended
		 */
		void callerDisconnected(Disconnection reason);

		/**
		 * Handles the end of the caller's connection while the response was being
		 * written.
		 * @param reason why the connection ended
		 */
		void responseCut(Disconnection reason);

		/**
		 * Handles the end of a connection that the gateway closed after the response, and
		 * the caller did not.
		 * @param reason why the connection ended
		 */
		void responseUnconfirmed(Disconnection reason);

		/**
		 * Ends the processing with a response, since the process ends.
		 */
		void gatewayEnds();

	}

}
