package io.masticlane.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.OptionalDouble;

import io.masticlane.caller.Headers;
import io.masticlane.caller.RefusedRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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

/**
 * Handles the connection of a caller and processes its requests one after the other.
 */
final class CallerHandler extends SimpleChannelInboundHandler<Object> {

	/**
	 * The limit of pipelined requests that wait on a connection; the connection is closed
	 * when it is exceeded.
	 */
	private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

	private final GatewayContext gateway;

	private final ReadTimeoutTracker timeouts;

	private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private ProxiedRequest current;

	private boolean keepAlive;

	private boolean headRequest;

	private boolean closing;

	CallerHandler(GatewayContext gateway, ReadTimeoutTracker timeouts) {
		this.gateway = gateway;
		this.timeouts = timeouts;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext read, Object message) {
		this.timeouts.requestReceived();
		if (message instanceof FullHttpRequest request) {
			if (this.current != null || !this.pipelined.isEmpty()) {
				if (this.pipelined.size() >= MAXIMUM_PIPELINED_REQUESTS) {
					read.close();
					return;
				}
				this.pipelined.add(request.retain());
				return;
			}
			begin(request);
		}
		else if (message instanceof RefusedRequest) {
			this.keepAlive = false;
			sendError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large", OptionalDouble.empty());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		this.pipelined.forEach(FullHttpRequest::release);
		this.pipelined.clear();
		if (this.current != null) {
			ProxiedRequest disconnected = this.current;
			this.current = null;
			disconnected.callerDisconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		caught.close();
	}

	/**
	 * Forwards the response of a backend server to the caller.
	 * @param response the response, whose content this method retains
	 */
	void forwardResponse(FullHttpResponse response) {
		FullHttpResponse copy = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(),
				response.content().retain());
		copy.headers().set(response.headers());
		Headers.removeHopByHop(copy.headers());
		copy.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
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
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		retryAfterSeconds.ifPresent((seconds) -> response.headers()
			.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds)));
		finish(response);
	}

	/**
	 * Closes the connection if no request is in flight on it.
	 */
	void closeIfIdle() {
		if (this.current == null && this.pipelined.isEmpty()) {
			this.context.close();
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
		ProxiedRequest proxied = new ProxiedRequest(this.gateway, this, request);
		this.current = proxied;
		proxied.start();
	}

	private void finish(FullHttpResponse response) {
		this.current = null;
		this.timeouts.responseSent();
		boolean close = !this.keepAlive || this.gateway.isLeaving();
		if (!this.headRequest) {
			HttpUtil.setContentLength(response, response.content().readableBytes());
		}
		if (close) {
			response.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		this.closing |= close;
		this.context.writeAndFlush(response)
			.addListener(close ? ChannelFutureListener.CLOSE : ChannelFutureListener.CLOSE_ON_FAILURE);
		if (this.closing) {
			this.pipelined.forEach(FullHttpRequest::release);
			this.pipelined.clear();
			return;
		}
		FullHttpRequest next = this.pipelined.poll();
		if (next != null) {
			this.context.executor().execute(() -> {
				if (this.context.channel().isActive()) {
					begin(next);
				}
				next.release();
			});
		}
	}

}
