package io.masticlane.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

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

/**
 * Answers look-ups, readiness checks and scrapes of metrics.
 */
final class DirectoryHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final String METRICS = "/metrics";

	private final Dialect dialect;

	private final Endpoints answers;

	DirectoryHandler(Dialect dialect, Endpoints answers) {
		this.dialect = dialect;
		this.answers = answers;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		boolean keepAlive = request.decoderResult().isSuccess() && HttpUtil.isKeepAlive(request);
		FullHttpResponse answer = answer(request);
		HttpUtil.setContentLength(answer, answer.content().readableBytes());
		if (!keepAlive) {
			answer.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		context.writeAndFlush(answer)
			.addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	private FullHttpResponse answer(FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			return print(HttpResponseStatus.BAD_REQUEST, "text/plain", text("the request cannot be read\n"));
		}
		Optional<Dialect.LookUp> lookUp = this.dialect.lookUp(request.uri());
		if (lookUp.isPresent()) {
			return this.answers.lookUp(lookUp.get())
				.map((body) -> print(HttpResponseStatus.OK, "application/json", body))
				.orElseGet(() -> print(HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain",
						text("no entry host is known to take callers\n")));
		}
		if (this.dialect.isReadinessCheck(request.uri())) {
			boolean ready = this.answers.isReady();
			return print(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain",
					text(ready ? "ready\n" : "not ready\n"));
		}
		if (request.uri().equals(METRICS)) {
			return print(HttpResponseStatus.OK, "text/plain; version=0.0.4", this.answers.metrics());
		}
		return print(HttpResponseStatus.NOT_FOUND, "text/plain", text("nothing is served here\n"));
	}

	private static FullHttpResponse print(HttpResponseStatus status, String type, byte[] body) {
		FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		return answer;
	}

	private static byte[] text(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * What the daemon answers.
	 */
	interface Endpoints {

		/**
		 * Answers a look-up.
		 * @param lookUp the look-up
		 * @return the body, or nothing if no entry host takes callers
		 */
		Optional<byte[]> lookUp(Dialect.LookUp lookUp);

		/**
		 * Returns whether this gateway takes callers.
		 * @return whether this gateway takes callers
		 */
		boolean isReady();

		/**
		 * Renders the metrics.
		 * @return the metrics
		 */
		byte[] metrics();

	}

}
