package io.masticlane.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.masticlane.configuration.BackendServer;
import io.masticlane.steering.AttemptResult;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * The connection pool of one event loop to the backend servers. A connection carries one
 * request at a time, is reused only after a complete response that names its request, and
 * is closed once it has been idle for {@link #MAXIMUM_IDLE_NANOS} or receives data that
 * no request awaits.
 */
public final class BackendConnections {

	/**
	 * The maximum idle time of a pooled connection, in nanoseconds.
	 */
	public static final long MAXIMUM_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int MAXIMUM_IDLE_CONNECTIONS_PER_SERVER = 16;

	private static final long EVICTION_INTERVAL_MILLIS = 1_000;

	private final EventLoop loop;

	private final Map<Destination, Deque<IdleConnection>> idle = new HashMap<>();

	/**
	 * Creates a new pool.
	 * @param loop the event loop of the pool
	 */
	public BackendConnections(EventLoop loop) {
		this.loop = loop;
		loop.scheduleAtFixedRate(this::evictExpired, EVICTION_INTERVAL_MILLIS, EVICTION_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends a request.
	 * @param server the backend server
	 * @param request the request, which is released when it has been written
	 * @param maximumIdleNanos the maximum idle time of a reused connection, or zero to
	 * open a new one
	 * @param receiver the receiver of the response
	 */
	public void send(BackendServer server, FullHttpRequest request, long maximumIdleNanos, ResponseReceiver receiver) {
		Destination destination = new Destination(server.address(), request.method().equals(HttpMethod.HEAD));
		Channel pooled = pollIdle(destination, maximumIdleNanos);
		if (pooled != null) {
			write(pooled, true, request, receiver);
			return;
		}
		connect(destination).addListener((ChannelFuture connectFuture) -> {
			if (connectFuture.isSuccess()) {
				write(connectFuture.channel(), false, request, receiver);
			}
			else {
				request.release();
				receiver.attemptFailed(AttemptResult.NOT_SENT);
			}
		});
	}

	/**
	 * Closes the idle connections to a backend server after one of them became
	 * unresponsive.
	 * @param server the backend server
	 */
	public void discardIdle(BackendServer server) {
		Stream.of(true, false)
			.map((head) -> this.idle.remove(new Destination(server.address(), head)))
			.filter(Objects::nonNull)
			.flatMap(Deque::stream)
			.forEach((each) -> each.channel().close());
	}

	private void evictExpired() {
		long now = System.nanoTime();
		this.idle.values().forEach((connections) -> {
			while (!connections.isEmpty() && connections.peekLast().idleSince() - now <= -MAXIMUM_IDLE_NANOS) {
				connections.pollLast().channel().close();
			}
		});
		this.idle.values().removeIf(Deque::isEmpty);
	}

	private Channel pollIdle(Destination destination, long maximumIdleNanos) {
		long now = System.nanoTime();
		Deque<IdleConnection> connections = this.idle.getOrDefault(destination, new ArrayDeque<>());
		IdleConnection candidate = connections.peekFirst();
		while (candidate != null && now - candidate.idleSince() < maximumIdleNanos) {
			connections.pollFirst();
			if (candidate.channel().isActive()) {
				return candidate.channel();
			}
			candidate = connections.peekFirst();
		}
		return null;
	}

	private ChannelFuture connect(Destination destination) {
		String address = destination.address();
		int colon = address.lastIndexOf(':');
		return new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					BackendHandler handler = new BackendHandler(destination.head(),
							(reusable) -> returnToPool(destination, reusable));
					channel.pipeline().addLast(new HttpRequestEncoder(), handler.decoder(), handler);
				}
			})
			.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
	}

	private void write(Channel channel, boolean reused, FullHttpRequest request, ResponseReceiver receiver) {
		if (!receiver.connectionAcquired(channel, reused)) {
			request.release();
			channel.close();
			return;
		}
		channel.pipeline().get(BackendHandler.class).send(request, receiver);
	}

	private void returnToPool(Destination destination, Channel channel) {
		Deque<IdleConnection> connections = this.idle.computeIfAbsent(destination, (key) -> new ArrayDeque<>());
		if (channel.isActive() && connections.size() < MAXIMUM_IDLE_CONNECTIONS_PER_SERVER) {
			connections.addFirst(new IdleConnection(channel, System.nanoTime()));
		}
		else {
			channel.close();
		}
	}

	/**
	 * Where requests go. Responses to HEAD requests have no body, and those to other
	 * requests may have one, so they have connections of their own.
	 */
	private record Destination(String address, boolean head) {
	}

	private record IdleConnection(Channel channel, long idleSince) {
	}

}
