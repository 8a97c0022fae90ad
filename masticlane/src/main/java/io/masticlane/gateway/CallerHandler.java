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
 * One connection of a caller, which carries one request after the other.
 */
final class CallerHandler extends SimpleChannelInboundHandler<Object> {

	/**
	 * The requests that may wait on a connection; further ones end it.
	 */
	private static final int PIPELINED_REQUESTS = 16;

	private final GatewayContext traffic;

	private final ReadTimeoutTracker clock;

	private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private ProxiedRequest current;

	private boolean keepAlive;

	private boolean head;

	private boolean closing;

	CallerHandler(GatewayContext traffic, ReadTimeoutTracker clock) {
		this.traffic = traffic;
		this.clock = clock;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext read, Object message) {
		this.clock.requestReceived();
		if (message instanceof FullHttpRequest request) {
			if (this.current != null || !this.waiting.isEmpty()) {
				if (this.waiting.size() >= PIPELINED_REQUESTS) {
					read.close();
					return;
				}
				this.waiting.add(request.retain());
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
		this.waiting.forEach(FullHttpRequest::release);
		this.waiting.clear();
		if (this.current != null) {
			ProxiedRequest left = this.current;
			this.current = null;
			left.callerDisconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		caught.close();
	}

	/**
	 * Delivers a backend server's answer.
	 * @param answer the answer, whose content is retained here
	 */
	void forwardResponse(FullHttpResponse answer) {
		FullHttpResponse copy = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(),
				answer.content().retain());
		copy.headers().set(answer.headers());
		Headers.removeHopByHop(copy.headers());
		copy.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
		finish(copy);
	}

	/**
	 * Answers by the gateway itself.
	 * @param status the status
	 * @param text one line that tells why
	 * @param retryAfterSeconds when the caller is to return, if it may
	 */
	void sendError(HttpResponseStatus status, String text, OptionalDouble retryAfterSeconds) {
		ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
		FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		retryAfterSeconds.ifPresent((seconds) -> answer.headers()
			.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds)));
		finish(answer);
	}

	/**
	 * Closes the connection if no request is under way on it.
	 */
	void closeIfIdle() {
		if (this.current == null && this.waiting.isEmpty()) {
			this.context.close();
		}
	}

	private void begin(FullHttpRequest request) {
		Throwable malformed = request.decoderResult().cause();
		this.head = request.method().name().equals("HEAD");
		this.keepAlive = malformed == null && HttpUtil.isKeepAlive(request);
		if (malformed != null) {
			boolean tooLong = malformed instanceof TooLongHttpHeaderException
					|| malformed instanceof TooLongHttpLineException;
			sendError(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
					"the request cannot be read", OptionalDouble.empty());
			return;
		}
		ProxiedRequest carried = new ProxiedRequest(this.traffic, this, request);
		this.current = carried;
		carried.start();
	}

	private void finish(FullHttpResponse answer) {
		this.current = null;
		this.clock.responseSent();
		boolean close = !this.keepAlive || this.traffic.isLeaving();
		if (!this.head) {
			HttpUtil.setContentLength(answer, answer.content().readableBytes());
		}
		if (close) {
			answer.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		this.closing |= close;
		this.context.writeAndFlush(answer)
			.addListener(close ? ChannelFutureListener.CLOSE : ChannelFutureListener.CLOSE_ON_FAILURE);
		if (this.closing) {
			this.waiting.forEach(FullHttpRequest::release);
			this.waiting.clear();
			return;
		}
		FullHttpRequest next = this.waiting.poll();
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
