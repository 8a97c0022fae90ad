package io.masticlane.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.masticlane.client.AsyncClient;
import io.masticlane.client.ResponseDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.Future;

/**
 * A watch of the JSON gateway of etcd version 3, which streams one JSON document per
 * line.
 */
final class EtcdWatch implements Store.Watch {

	/**
	 * The maximum length of a line, which holds a value of 1 MB in Base64.
	 */
	private static final int MAXIMUM_LINE_BYTES = 4 * 1024 * 1024;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Store.WatchListener listener;

	private ChannelFuture connection;

	private Future<?> responseTimeout;

	private boolean ended;

	private EtcdWatch(Store.WatchListener listener) {
		this.listener = listener;
	}

	/**
	 * Opens a watch.
	 * @param address the address of the store
	 * @param request the request, which is released
	 * @param timeout the time until the beginning of the response
	 * @param listener receives the writes and the end of the watch
	 * @return the watch
	 */
	static EtcdWatch open(InetSocketAddress address, FullHttpRequest request, Duration timeout,
			Store.WatchListener listener) {
		EtcdWatch watch = new EtcdWatch(listener);
		AsyncClient.loop().execute(() -> watch.connect(address, request, timeout));
		return watch;
	}

	@Override
	public synchronized void close() {
		this.ended = true;
		if (this.connection != null) {
			this.responseTimeout.cancel(false);
			this.connection.channel().close();
		}
	}

	private synchronized void connect(InetSocketAddress address, FullHttpRequest request, Duration timeout) {
		if (this.ended) {
			request.release();
			return;
		}
		this.responseTimeout = AsyncClient.loop()
			.schedule(() -> end("no response within " + timeout.toMillis() + " ms"), timeout.toMillis(),
					TimeUnit.MILLISECONDS);
		this.connection = new Bootstrap().group(AsyncClient.loop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					ResponseDecoder decoder = new ResponseDecoder(false, () -> true, (data) -> {
					});
					channel.pipeline()
						.addLast(new HttpRequestEncoder(), decoder, new ContentHandler(),
								new LineBasedFrameDecoder(MAXIMUM_LINE_BYTES), new LineHandler());
				}
			})
			.connect(address);
		this.connection.addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				connected.channel().writeAndFlush(request);
			}
			else {
				request.release();
				end(String.valueOf(connected.cause()));
			}
		});
	}

	private void end(String reason) {
		boolean notify;
		synchronized (this) {
			notify = !this.ended;
		}
		close();
		if (notify) {
			this.listener.watchEnded(reason);
		}
	}

	/**
	 * Passes on the content of a successful response.
	 */
	private final class ContentHandler extends SimpleChannelInboundHandler<HttpObject> {

		private boolean successful;

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (message.decoderResult().isFailure()) {
				end("malformed response: " + message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpResponse head) {
				this.successful = head.status().equals(HttpResponseStatus.OK);
				if (this.successful) {
					EtcdWatch.this.responseTimeout.cancel(false);
				}
				else if (head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
					end("response with status " + head.status().code());
				}
			}
			if (message instanceof HttpContent content && this.successful) {
				context.fireChannelRead(content.content().retain());
			}
		}

	}

	/**
	 * Notifies the listener of the writes in each line.
	 */
	private final class LineHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
			try {
				JsonNode result = MAPPER.readTree(ByteBufUtil.getBytes(line)).path("result");
				if (result.path("canceled").asBoolean()) {
					end("cancelled by the store");
					return;
				}
				StreamSupport.stream(result.path("events").spliterator(), false)
					.filter((event) -> !event.path("type").asText().equals("DELETE"))
					.map((event) -> EtcdStore.entry(event.path("kv")))
					.forEach(EtcdWatch.this.listener::keyWritten);
			}
			catch (IOException | IllegalArgumentException ex) {
				end("malformed: " + ex.getMessage());
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			end("closed by the store");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			end(cause.toString());
		}

	}

}
