package io.masticlane.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

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
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * The pooled connections of one event loop to backend servers. A connection carries one
 * request at a time, is reused only after a whole answer, and is dropped when it was idle
 * for some seconds.
 */
public final class BackendConnections {

	/**
	 * The longest time that a connection stays idle in the pool, in nanoseconds.
	 */
	public static final long MAXIMUM_IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final int CONNECT_MILLIS = 1_000;

	private static final int IDLE_CONNECTIONS = 16;

	private static final long SWEEP_MILLIS = 1_000;

	private final EventLoop loop;

	private final Map<String, Deque<Idle>> idle = new HashMap<>();

	/**
	 * Creates a new pool.
	 * @param loop the event loop of the pool
	 */
	public BackendConnections(EventLoop loop) {
		this.loop = loop;
		loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends a request.
	 * @param server the backend server
	 * @param request the request, which is released once written
	 * @param maximumIdleNanos the time for which a connection may have been idle, or zero
	 * for a new connection
	 * @param receiver the receiver of the answer
	 */
	public void send(BackendServer server, FullHttpRequest request, long maximumIdleNanos, ResponseReceiver receiver) {
		Channel pooled = takeIdle(server.address(), maximumIdleNanos);
		if (pooled != null) {
			write(pooled, true, request, receiver);
			return;
		}
		connect(server).addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				write(connected.channel(), false, request, receiver);
			}
			else {
				request.release();
				receiver.attemptFailed(AttemptResult.NOT_SENT);
			}
		});
	}

	/**
	 * Closes the idle connections to a backend server, since one of them went silent.
	 * @param server the backend server
	 */
	public void discardIdle(BackendServer server) {
		Deque<Idle> channels = this.idle.remove(server.address());
		if (channels != null) {
			channels.forEach((each) -> each.channel().close());
		}
	}

	private void sweep() {
		long now = System.nanoTime();
		this.idle.values().forEach((channels) -> {
			while (!channels.isEmpty() && channels.peekLast().since() - now <= -MAXIMUM_IDLE_NANOS) {
				channels.pollLast().channel().close();
			}
		});
		this.idle.values().removeIf(Deque::isEmpty);
	}

	private Channel takeIdle(String address, long maximumIdleNanos) {
		long now = System.nanoTime();
		Deque<Idle> channels = this.idle.getOrDefault(address, new ArrayDeque<>());
		Idle newest = channels.peekFirst();
		while (newest != null && now - newest.since() < maximumIdleNanos) {
			channels.pollFirst();
			if (newest.channel().isActive()) {
				return newest.channel();
			}
			newest = channels.peekFirst();
		}
		return null;
	}

	private ChannelFuture connect(BackendServer server) {
		String address = server.address();
		int colon = address.lastIndexOf(':');
		return new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new BackendHandler((whole) -> recycle(address, whole)));
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
		channel.pipeline().get(BackendHandler.class).expectResponse(receiver);
		channel.writeAndFlush(request);
	}

	private void recycle(String address, Channel channel) {
		Deque<Idle> channels = this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>());
		if (channel.isActive() && channels.size() < IDLE_CONNECTIONS) {
			channels.addFirst(new Idle(channel, System.nanoTime()));
		}
		else {
			channel.close();
		}
	}

	private record Idle(Channel channel, long since) {
	}

}
