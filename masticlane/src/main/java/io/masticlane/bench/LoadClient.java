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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends requests over kept connections, each one at a time, at a steady rate or as fast
 * as answers come.
 */
final class LoadClient implements AutoCloseable {

	private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

	private static final long LARGEST_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final long PACING_NANOS = TimeUnit.MICROSECONDS.toNanos(20);

	private static final long SETTLE_MILLIS = 5_000;

	private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final String path;

	private final String key;

	private final List<Connection> connections;

	private final Map<String, Long> failures = new ConcurrentSkipListMap<>();

	private final AtomicLong unanswered = new AtomicLong();

	private final Deque<Connection> idle = new ArrayDeque<>();

	private final Deque<Long> overdue = new ArrayDeque<>();

	private volatile Histogram latency = new ConcurrentHistogram(LARGEST_NANOS, 3);

	private volatile boolean repeating;

	LoadClient(List<InetSocketAddress> addresses, int connections, String path, String key) {
		this.path = path;
		this.key = key;
		this.connections = IntStream.range(0, connections)
			.mapToObj((index) -> new Connection(addresses.get(index % addresses.size())))
			.toList();
		this.loop.next().submit(() -> this.idle.addAll(this.connections)).syncUninterruptibly();
	}

	/**
	 * Sends at a steady rate, whether or not answers come; each latency counts from the
	 * time at which its request was due.
	 * @param rate the requests per second
	 * @param millis the duration
	 * @return the latencies in nanoseconds
	 */
	Histogram openLoop(double rate, long millis) {
		this.latency = new ConcurrentHistogram(LARGEST_NANOS, 3);
		long interval = (long) (TimeUnit.SECONDS.toNanos(1) / rate);
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		for (long due = System.nanoTime(); due < end; due += interval) {
			while (System.nanoTime() < due) {
				LockSupport.parkNanos(PACING_NANOS);
			}
			offer(due);
		}
		settle();
		return this.latency;
	}

	/**
	 * Sends the next request over each connection when the answer to the last has come.
	 * @param millis the duration
	 * @return the latencies in nanoseconds
	 */
	Histogram closedLoop(long millis) {
		this.latency = new ConcurrentHistogram(LARGEST_NANOS, 3);
		this.repeating = true;
		this.connections.forEach((connection) -> offer(System.nanoTime()));
		pause(millis);
		this.repeating = false;
		settle();
		return this.latency;
	}

	/**
	 * Returns the requests that were not answered as wanted.
	 * @return the number of requests by status
	 */
	Map<String, Long> failures() {
		return this.failures;
	}

	@Override
	public void close() {
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private void offer(long due) {
		this.unanswered.incrementAndGet();
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

	private void settle() {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MILLIS);
		while (this.unanswered.get() > 0 && System.nanoTime() < deadline) {
			pause(1);
		}
		long lost = this.unanswered.getAndSet(0);
		if (lost > 0) {
			this.failures.merge("no answer", lost, Long::sum);
		}
	}

	private static void pause(long millis) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	/**
	 * A connection with at most one request under way.
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
							.addLast(new HttpClientCodec(), new HttpObjectAggregator(MAXIMUM_BODY_BYTES),
									Connection.this);
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
			request.headers().set(HttpHeaderNames.AUTHORIZATION, "Bearer " + LoadClient.this.key);
			this.channel.writeAndFlush(request);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			long now = System.nanoTime();
			LoadClient.this.latency.recordValue(Math.min(LARGEST_NANOS, now - this.due));
			if (!response.status().equals(HttpResponseStatus.OK)) {
				LoadClient.this.failures.merge(response.status().toString(), 1L, Long::sum);
			}
			next(now);
		}

		private void next(long now) {
			if (LoadClient.this.repeating) {
				send(now);
				return;
			}
			LoadClient.this.unanswered.decrementAndGet();
			Long waiting = LoadClient.this.overdue.pollFirst();
			if (waiting != null) {
				send(waiting);
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
