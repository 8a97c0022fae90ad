package io.masticlane.bench;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import io.masticlane.client.ResponseDecoder;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends requests over persistent connections, with at most one request in flight on each,
 * either at a constant rate (open loop) or one after the other (closed loop).
 */
final class LoadClient implements AutoCloseable {

	private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

	private static final long MAXIMUM_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final long PACING_INTERVAL_NANOS = TimeUnit.MICROSECONDS.toNanos(20);

	private static final long RESPONSE_TIMEOUT_MILLIS = 5_000;

	private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final String path;

	private final String apiKey;

	private final List<Connection> connections;

	private final Map<String, Long> failures = new ConcurrentSkipListMap<>();

	private final AtomicLong pending = new AtomicLong();

	private final Deque<Connection> idle = new ArrayDeque<>();

	private final Deque<Long> overdue = new ArrayDeque<>();

	private volatile Histogram latency = new ConcurrentHistogram(MAXIMUM_LATENCY_NANOS, 3);

	private volatile boolean repeating;

	LoadClient(List<InetSocketAddress> addresses, int connections, String path, String apiKey) {
		this.path = path;
		this.apiKey = apiKey;
		this.connections = IntStream.range(0, connections)
			.mapToObj((index) -> new Connection(addresses.get(index % addresses.size())))
			.toList();
		this.loop.next().submit(() -> this.idle.addAll(this.connections)).syncUninterruptibly();
	}

	/**
	 * Sends requests at a constant rate, independent of the responses. Each latency is
	 * measured from the time at which the request was due, so that queueing in this
	 * client counts.
	 * @param requestsPerSecond the rate
	 * @param millis the duration in milliseconds
	 * @return the latencies in nanoseconds
	 */
	Histogram openLoop(double requestsPerSecond, long millis) {
		this.latency = new ConcurrentHistogram(MAXIMUM_LATENCY_NANOS, 3);
		long interval = (long) (TimeUnit.SECONDS.toNanos(1) / requestsPerSecond);
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		for (long due = System.nanoTime(); due < end; due += interval) {
			while (System.nanoTime() < due) {
				LockSupport.parkNanos(PACING_INTERVAL_NANOS);
			}
			enqueue(due);
		}
		awaitResponses();
		return this.latency;
	}

	/**
	 * Sends the next request over each connection when the response to the previous one
	 * has arrived.
	 * @param millis the duration in milliseconds
	 * @return the latencies in nanoseconds
	 */
	Histogram closedLoop(long millis) {
		this.latency = new ConcurrentHistogram(MAXIMUM_LATENCY_NANOS, 3);
		this.repeating = true;
		this.connections.forEach((connection) -> enqueue(System.nanoTime()));
		pause(millis);
		this.repeating = false;
		awaitResponses();
		return this.latency;
	}

	/**
	 * Returns the requests without a response or with a status other than 200.
	 * @return the number of failed requests by status
	 */
	Map<String, Long> failures() {
		return this.failures;
	}

	@Override
	public void close() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private void enqueue(long due) {
		this.pending.incrementAndGet();
		this.loop.execute(() -> {
			Connection connection = this.idle.pollFirst();
			if (connection != null) {
				connection.send(due);
			}
			else {
				this.overdue.addLast(due);
			}
		});
	}

	private void awaitResponses() {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESPONSE_TIMEOUT_MILLIS);
		while (this.pending.get() > 0 && System.nanoTime() < deadline) {
			pause(1);
		}
		long lost = this.pending.getAndSet(0);
		if (lost > 0) {
			this.failures.merge("no response", lost, Long::sum);
		}
	}

	private static void pause(long millis) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	/**
	 * A connection with at most one request in flight.
	 */
	private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final Channel channel;

		private final String host;

		private long due;

		Connection(InetSocketAddress address) {
			this.host = address.getHostString() + ":" + address.getPort();
			this.channel = new Bootstrap().group(LoadClient.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.handler(new ChannelInitializer<SocketChannel>() {
					@Override
					protected void initChannel(SocketChannel channel) {
						channel.pipeline()
							.addLast(new HttpRequestEncoder(), new ResponseDecoder(false, () -> true, (data) -> {
							}), new HttpObjectAggregator(MAXIMUM_BODY_BYTES), Connection.this);
					}
				})
				.connect(address)
				.syncUninterruptibly()
				.channel();
		}

		void send(long due) {
			this.due = due;
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
					LoadClient.this.path);
			request.headers().set(HttpHeaderNames.HOST, this.host);
			request.headers().set(HttpHeaderNames.AUTHORIZATION, "Bearer " + LoadClient.this.apiKey);
			this.channel.writeAndFlush(request);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			long now = System.nanoTime();
			LoadClient.this.latency.recordValue(Math.min(MAXIMUM_LATENCY_NANOS, now - this.due));
			if (response.decoderResult().isFailure()) {
				LoadClient.this.failures.merge("malformed response", 1L, Long::sum);
			}
			else if (!response.status().equals(HttpResponseStatus.OK)) {
				LoadClient.this.failures.merge(response.status().toString(), 1L, Long::sum);
			}
			next(now);
		}

		private void next(long now) {
			if (LoadClient.this.repeating) {
				send(now);
				return;
			}
			LoadClient.this.pending.decrementAndGet();
			Long overdueRequest = LoadClient.this.overdue.pollFirst();
			if (overdueRequest != null) {
				send(overdueRequest);
			}
			else {
				LoadClient.this.idle.addLast(this);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
