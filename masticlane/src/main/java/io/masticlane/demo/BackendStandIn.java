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
 * A small stand-in for a backend server: it has slots, takes a time for each request,
 * sheds what exceeds the slots, and counts the runs of each operation. A request whose
 * query names a {@link StandInAnswer} gets that kind of answer.
 */
public final class BackendStandIn implements AutoCloseable {

	private static final long STREAM_MILLIS = 50;

	/**
	 * The end of a path whose answer has no end.
	 */
	private static final String STREAM_SUFFIX = "/stream";

	private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

	private final String name;

	private final int slots;

	private final long serviceMillis;

	private final Channel channel;

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger mostRunning = new AtomicInteger();

	private final AtomicInteger shed = new AtomicInteger();

	private final AtomicInteger begun = new AtomicInteger();

	private volatile boolean leaving;

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Set<String> headerNames = ConcurrentHashMap.newKeySet();

	private final AtomicInteger cancelled = new AtomicInteger();

	private volatile HttpHeaders lastHeaders = EmptyHttpHeaders.INSTANCE;

	/**
	 * Creates a new backend server and starts listening.
	 * @param name the name of the backend server
	 * @param address the address to listen at
	 * @param slots the requests that it runs at once
	 * @param serviceMillis the time that each request takes
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
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES), new Handler());
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
	 * Returns the most requests that were running at once.
	 * @return the most requests that were running at once
	 */
	public int mostRunning() {
		return this.mostRunning.get();
	}

	/**
	 * Returns the requests that were shed.
	 * @return the requests that were shed
	 */
	public int shed() {
		return this.shed.get();
	}

	/**
	 * Returns the requests that began to run.
	 * @return the requests that began to run
	 */
	public int begun() {
		return this.begun.get();
	}

	/**
	 * Returns the requests that are running.
	 * @return the requests that are running
	 */
	public int running() {
		return this.running.get();
	}

	/**
	 * Tells callers with each answer whether this backend server is leaving.
	 * @param leaving whether this backend server is leaving
	 */
	public void leaving(boolean leaving) {
		this.leaving = leaving;
	}

	/**
	 * Returns the lower-case names of all headers that requests came with.
	 * @return the names of all headers that requests came with
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

	private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private int runningHere;

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			BackendStandIn server = BackendStandIn.this;
			server.lastHeaders = request.headers();
			request.headers().names().forEach((header) -> server.headerNames.add(header.toLowerCase()));
			int now = server.running.incrementAndGet();
			if (now > server.slots) {
				server.running.decrementAndGet();
				server.shed.incrementAndGet();
				answer(context, request, HttpResponseStatus.SERVICE_UNAVAILABLE, "shed\n", "not-run");
				return;
			}
			server.begun.incrementAndGet();
			server.mostRunning.accumulateAndGet(now, Math::max);
			String operation = request.headers().get("Idempotency-Key");
			if (operation != null) {
				server.runs.merge(operation, 1, Integer::sum);
			}
			this.runningHere++;
			FullHttpRequest kept = request.retain();
			long millis = server.serviceMillis + StandInAnswer.of(request).delayMillis();
			context.executor().schedule(() -> finish(context, kept), millis, TimeUnit.MILLISECONDS);
		}

		private void finish(ChannelHandlerContext context, FullHttpRequest request) {
			BackendStandIn server = BackendStandIn.this;
			server.running.decrementAndGet();
			this.runningHere--;
			String organisation = request.headers().get("Masticlane-Organisation", "");
			if (request.uri().endsWith(STREAM_SUFFIX)) {
				stream(context, request);
				request.release();
				return;
			}
			answer(context, request, HttpResponseStatus.OK,
					server.name + " " + organisation + " " + request.uri() + "\n", "run");
			request.release();
		}

		private void stream(ChannelHandlerContext context, FullHttpRequest request) {
			HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
			head.headers().set("Transfer-Encoding", "chunked");
			head.headers().set("Masticlane-Request-Id", request.headers().get("Masticlane-Request-Id", ""));
			context.writeAndFlush(head);
			streamOn(context);
		}

		private void streamOn(ChannelHandlerContext context) {
			if (context.channel().isActive()) {
				context.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer("row\n", StandardCharsets.UTF_8)));
				context.executor().schedule(() -> streamOn(context), STREAM_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

		private void answer(ChannelHandlerContext context, FullHttpRequest request, HttpResponseStatus status,
				String text, String outcome) {
			byte[] body = text.getBytes(StandardCharsets.UTF_8);
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
			StandInAnswer.of(request).write(context, response);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			BackendStandIn.this.cancelled.addAndGet(this.runningHere);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
