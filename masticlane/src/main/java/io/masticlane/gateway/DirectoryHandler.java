package io.masticlane.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.masticlane.caller.LingeringClose;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
 * Responds to look-ups, readiness checks and metrics scrapes.
 */
final class DirectoryHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

	private static final String METRICS_PATH = "/metrics";

	private final Dialect dialect;

	private final Endpoints endpoints;

	private boolean closing;

	DirectoryHandler(Dialect dialect, Endpoints endpoints) {
		this.dialect = dialect;
		this.endpoints = endpoints;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
		if (this.closing) {
			return;
		}
		boolean keepAlive = request.decoderResult().isSuccess() && HttpUtil.isKeepAlive(request);
		FullHttpResponse response = response(request);
		HttpUtil.setContentLength(response, response.content().readableBytes());
		if (!keepAlive) {
			response.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		ChannelFuture written = context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
		if (!keepAlive) {
			this.closing = true;
			LingeringClose.after(written, (outcome) -> {
			});
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	private FullHttpResponse response(FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			return newResponse(HttpResponseStatus.BAD_REQUEST, "text/plain", utf8("the request cannot be read\n"));
		}
		Optional<Dialect.LookUp> lookUp = this.dialect.lookUp(request.uri());
		if (lookUp.isPresent()) {
			return this.endpoints.lookUp(lookUp.get())
				.map((body) -> newResponse(HttpResponseStatus.OK, "application/json", body))
				.orElseGet(() -> newResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain",
						utf8("no entry host is known to take callers\n")));
		}
		if (this.dialect.isReadinessCheck(request.uri())) {
			boolean ready = this.endpoints.isReady();
			return newResponse(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain",
					utf8(ready ? "ready\n" : "not ready\n"));
		}
		if (request.uri().equals(METRICS_PATH)) {
			return newResponse(HttpResponseStatus.OK, "text/plain; version=0.0.4", this.endpoints.metrics());
		}
		return newResponse(HttpResponseStatus.NOT_FOUND, "text/plain", utf8("nothing is served here\n"));
	}

	private static FullHttpResponse newResponse(HttpResponseStatus status, String type, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		return response;
	}

	private static byte[] utf8(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * The operations of the daemon that the endpoints serve.
	 */
	interface Endpoints {

		/**
		 * Returns the response to a look-up.
		 * @param lookUp the look-up
		 * @return the body, or empty if no entry host accepts callers
		 */
		Optional<byte[]> lookUp(Dialect.LookUp lookUp);

		/**
		 * Returns whether this gateway accepts callers.
		 * @return whether this gateway accepts callers
		 */
		boolean isReady();

		/**
		 * Returns the metrics in the text format of Prometheus.
		 * @return the metrics
		 */
		byte[] metrics();

	}

}
