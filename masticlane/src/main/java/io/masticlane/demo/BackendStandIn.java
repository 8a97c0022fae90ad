package io.masticlane.demo;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

/**
 * An in-process stand-in for a backend server. It has a number of slots and a fixed
 * service time, sheds requests beyond its slots, and counts the runs of each operation.
 * The query of a request can select a {@link StandInResponse}.
 */
public final class BackendStandIn implements AutoCloseable {

	private static final long STREAM_INTERVAL_MILLIS = 50;

	/**
	 * The suffix of paths that respond with an endless body.
	 */
	private static final String STREAM_SUFFIX = "/stream";

	private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

	private final String name;

	private final int slots;

	private final long serviceMillis;

	private final Channel channel;

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger maximumRunning = new AtomicInteger();

	private final AtomicInteger shed = new AtomicInteger();

	private final AtomicInteger started = new AtomicInteger();

	private volatile boolean leaving;

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Set<String> headerNames = ConcurrentHashMap.newKeySet();

	private final AtomicInteger cancelled = new AtomicInteger();

	private volatile HttpHeaders lastHeaders = EmptyHttpHeaders.INSTANCE;

	/**
	 * Creates a new stand-in and starts listening.
	 * @param name the name of the backend server
	 * @param address the address to listen at
	 * @param slots the number of requests that it runs at once
	 * @param serviceMillis the service time of each request in milliseconds
	 * @param loops the event loops
	 */
	public BackendStandIn(String name, InetSocketAddress address, int slots, long serviceMillis, EventLoopGroup loops) {
		this.name = name;
		this.slots = slots;
		this.serviceMillis = serviceMillis;
		this.channel = new ServerBootstrap().group(loops)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel child) {
					child.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES),
								new RequestHandler());
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Returns the address that the backend server listens at.
	 * @return the address that the backend server listens at
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.channel.localAddress();
	}

	/**
	 * Returns the number of runs of each operation.
	 * @return the number of runs by idempotency key
	 */
	public Map<String, Integer> runs() {
		return Map.copyOf(this.runs);
	}

	/**
	 * Returns the highest number of requests that were running at once.
	 * @return the highest number of requests that were running at once
	 */
	public int maximumRunning() {
		return this.maximumRunning.get();
	}

	/**
	 * Returns the number of requests that were shed.
	 * @return the number of requests that were shed
	 */
	public int shed() {
		return this.shed.get();
	}

	/**
	 * Returns the number of requests that were started.
	 * @return the number of requests that were started
	 */
	public int started() {
		return this.started.get();
	}

	/**
	 * Returns the number of requests that are running.
	 * @return the number of requests that are running
	 */
	public int running() {
		return this.running.get();
	}

	/**
	 * Sets whether this backend server reports with each response that it is leaving.
	 * @param leaving whether this backend server is leaving
	 */
	public void leaving(boolean leaving) {
		this.leaving = leaving;
	}

	/**
	 * Returns the names of all headers received with requests.
	 * @return the header names in lower case
	 */
	public Set<String> headerNames() {
		return Set.copyOf(this.headerNames);
	}

	/**
	 * Returns the number of requests whose connection was closed while they were running.
	 * @return the number of cancelled requests
	 */
	public int cancelled() {
		return this.cancelled.get();
	}

	/**
	 * Returns the headers of the last request.
	 * @return the headers of the last request
	 */
	public HttpHeaders lastHeaders() {
		return this.lastHeaders;
	}

	@Override
	public void close() {
		this.channel.close().syncUninterruptibly();
	}

	/**
	 * Runs the requests of one connection.
	 */
	private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private int runningOnConnection;

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			BackendStandIn server = BackendStandIn.this;
			server.lastHeaders = request.headers();
			request.headers().names().forEach((header) -> server.headerNames.add(header.toLowerCase()));
			int concurrent = server.running.incrementAndGet();
			if (concurrent > server.slots) {
				server.running.decrementAndGet();
				server.shed.incrementAndGet();
				respond(context, request, HttpResponseStatus.SERVICE_UNAVAILABLE, "shed\n", "not-run");
				return;
			}
			server.started.incrementAndGet();
			server.maximumRunning.accumulateAndGet(concurrent, Math::max);
			String operation = request.headers().get("Idempotency-Key");
			if (operation != null) {
				server.runs.merge(operation, 1, Integer::sum);
			}
			this.runningOnConnection++;
			FullHttpRequest retained = request.retain();
			long millis = server.serviceMillis + StandInResponse.of(request).delayMillis();
			context.executor().schedule(() -> finish(context, retained), millis, TimeUnit.MILLISECONDS);
		}

		private void finish(ChannelHandlerContext context, FullHttpRequest request) {
			BackendStandIn server = BackendStandIn.this;
			server.running.decrementAndGet();
			this.runningOnConnection--;
			String organisation = request.headers().get("Masticlane-Organisation", "");
			if (request.uri().endsWith(STREAM_SUFFIX)) {
				stream(context, request);
				request.release();
				return;
			}
			respond(context, request, HttpResponseStatus.OK,
					server.name + " " + organisation + " " + request.uri() + "\n", "run");
			request.release();
		}

		private void stream(ChannelHandlerContext context, FullHttpRequest request) {
			HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
			head.headers().set("Transfer-Encoding", "chunked");
			head.headers().set("Masticlane-Request-Id", request.headers().get("Masticlane-Request-Id", ""));
			context.writeAndFlush(head);
			writeNextRow(context);
		}

		private void writeNextRow(ChannelHandlerContext context) {
			if (context.channel().isActive()) {
				context.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer("row\n", StandardCharsets.UTF_8)));
				context.executor().schedule(() -> writeNextRow(context), STREAM_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

		private void respond(ChannelHandlerContext context, FullHttpRequest request, HttpResponseStatus status,
				String content, String outcome) {
			byte[] body = content.getBytes(StandardCharsets.UTF_8);
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
					Unpooled.wrappedBuffer(body));
			response.headers().setInt("Content-Length", body.length).set("Request-Outcome", outcome);
			BackendStandIn server = BackendStandIn.this;
			response.headers().set("Backend-Load", Math.min(server.running.get(), server.slots) + "/" + server.slots);
			if (server.leaving) {
				response.headers().set("Backend-State", "leaving");
			}
			String requestId = request.headers().get("Masticlane-Request-Id");
			if (requestId != null) {
				response.headers().set("Masticlane-Request-Id", requestId);
			}
			StandInResponse.of(request).write(context, response);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			BackendStandIn.this.cancelled.addAndGet(this.runningOnConnection);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
