package io.masticlane.client;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

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
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * The connections of one event loop to other processes. A connection carries one call at
 * a time and is kept only after a whole answer that belongs to its call.
 */
public final class ConnectionPool {

	private static final int LARGEST_ANSWER_BYTES = 64 * 1024 * 1024;

	private static final int LARGEST_LINE_BYTES = 8 * 1024;

	private static final int LARGEST_HEAD_BYTES = 64 * 1024;

	private static final int CHUNK_BYTES = 16 * 1024;

	private final EventLoop loop;

	private final int connectMillis;

	private final long idleNanos;

	private final Map<InetSocketAddress, Deque<ClientCall.Handler>> idle = new HashMap<>();

	/**
	 * Creates a pool.
	 * @param loop the event loop, on which all calls are made and end
	 * @param connectMillis the longest time to connect, in milliseconds
	 * @param idleMillis the longest time for which a connection is kept, in milliseconds
	 */
	public ConnectionPool(EventLoop loop, int connectMillis, long idleMillis) {
		this.loop = loop;
		this.connectMillis = connectMillis;
		this.idleNanos = TimeUnit.MILLISECONDS.toNanos(idleMillis);
	}

	/**
	 * Makes a call.
	 * @param address the address of the other end
	 * @param request the request, which is released
	 * @param maximumIdleMillis the time for which a reused connection may have been idle
	 * @param listener receives the end of the call
	 * @return the call
	 */
	public ClientCall call(InetSocketAddress address, FullHttpRequest request, long maximumIdleMillis,
			ResponseListener listener) {
		ClientCall call = new ClientCall(listener);
		ClientCall.Handler kept = take(address, TimeUnit.MILLISECONDS.toNanos(maximumIdleMillis));
		if (kept != null) {
			kept.send(call, request);
			return call;
		}
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectMillis)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(LARGEST_LINE_BYTES, LARGEST_HEAD_BYTES, CHUNK_BYTES),
								new HttpObjectAggregator(LARGEST_ANSWER_BYTES),
								new ClientCall.Handler((whole) -> keep(address, whole)));
				}
			})
			.connect(address);
		call.connecting(connecting.channel());
		connecting.addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				connected.channel().pipeline().get(ClientCall.Handler.class).send(call, request);
			}
			else {
				request.release();
				call.fail(ResponseListener.Failure.NOT_SENT, String.valueOf(connected.cause()));
			}
		});
		return call;
	}

	/**
	 * Closes the connections that were idle for too long.
	 */
	public void closeExpired() {
		long now = System.nanoTime();
		this.idle.values().forEach((kept) -> {
			while (!kept.isEmpty() && now - kept.peekLast().idleSince() > this.idleNanos) {
				kept.pollLast().close();
			}
		});
		this.idle.values().removeIf(Deque::isEmpty);
	}

	/**
	 * Closes the idle connections to an address.
	 * @param address the address
	 */
	public void closeIdle(InetSocketAddress address) {
		Deque<ClientCall.Handler> kept = this.idle.remove(address);
		if (kept != null) {
			kept.forEach(ClientCall.Handler::close);
		}
	}

	private ClientCall.Handler take(InetSocketAddress address, long maximumIdleNanos) {
		Deque<ClientCall.Handler> kept = this.idle.get(address);
		long now = System.nanoTime();
		while (kept != null && !kept.isEmpty() && now - kept.peekFirst().idleSince() < maximumIdleNanos) {
			ClientCall.Handler newest = kept.pollFirst();
			if (newest.isUsable(now)) {
				return newest;
			}
			newest.close();
		}
		return null;
	}

	private void keep(InetSocketAddress address, ClientCall.Handler whole) {
		this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>()).addFirst(whole);
	}

	static void closeQuietly(Channel channel) {
		if (channel != null) {
			channel.close();
		}
	}

}
