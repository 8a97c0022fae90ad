package io.masticlane.client;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.masticlane.memory.MessageMemory;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * The pool of connections from one event loop to other processes. A connection is used
 * for one call at a time and is reused only after a complete response to its call.
 */
public final class ConnectionPool {

	private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

	private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

	private static final int MAXIMUM_CHUNK_BYTES = 16 * 1024;

	private static final int MINIMUM_READ_BYTES = 64;

	private static final int INITIAL_READ_BYTES = 2 * 1024;

	private static final int MAXIMUM_READ_BYTES = 16 * 1024;

	/**
	 * Limits the bytes that the event loop reads from one connection before it turns to
	 * the others. Many small parts of a message take far longer than their bytes.
	 */
	private static final RecvByteBufAllocator READ_LIMITS = new AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES,
			INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
		.maxMessagesPerRead(2);

	private final EventLoop loop;

	private final int connectTimeoutMillis;

	private final long idleNanos;

	private final MessageMemory memory;

	private final Map<InetSocketAddress, Deque<ClientCall.Handler>> idle = new HashMap<>();

	private final ChannelGroup open;

	private final UnexpectedDataListener unexpectedDataListener;

	private long connections;

	/**
	 * Creates a pool.
	 * @param loop the event loop, on which calls are made and completed
	 * @param connectTimeoutMillis the timeout for connecting, in milliseconds
	 * @param idleMillis the maximum idle time of a connection, in milliseconds
	 * @param memory the memory for the bodies of responses
	 * @param unexpectedDataListener notified of data on idle connections
	 */
	public ConnectionPool(EventLoop loop, int connectTimeoutMillis, long idleMillis, MessageMemory memory,
			UnexpectedDataListener unexpectedDataListener) {
		this.loop = loop;
		this.connectTimeoutMillis = connectTimeoutMillis;
		this.idleNanos = TimeUnit.MILLISECONDS.toNanos(idleMillis);
		this.memory = memory;
		this.open = new DefaultChannelGroup(loop);
		this.unexpectedDataListener = unexpectedDataListener;
	}

	/**
	 * Makes a call.
	 * @param address the address of the other end
	 * @param request the request, which is released
	 * @param identifier the identifier of the request that its response repeats, if it
	 * has one
	 * @param maximumIdleMillis the maximum idle time of a reused connection, in
	 * milliseconds
	 * @param listener receives the result of the call
	 * @return the call
	 */
	public ClientCall call(InetSocketAddress address, FullHttpRequest request, Optional<String> identifier,
			long maximumIdleMillis, ResponseListener listener) {
		ClientCall call = new ClientCall(listener);
		ClientCall.Handler pooled = acquire(address, TimeUnit.MILLISECONDS.toNanos(maximumIdleMillis));
		if (pooled != null) {
			pooled.send(call, request, identifier);
			return call;
		}
		ChannelFuture connectFuture = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMillis)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR, READ_LIMITS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					ClientCall.Handler handler = new ClientCall.Handler(++ConnectionPool.this.connections,
							(released) -> release(address, released));
					channel.pipeline()
						.addLast(new HttpClientCodec(MAXIMUM_LINE_BYTES, MAXIMUM_HEAD_BYTES, MAXIMUM_CHUNK_BYTES),
								new ResponseAggregator(ConnectionPool.this.memory, handler::isAwaitingResponse,
										(data) -> ConnectionPool.this.unexpectedDataListener.dataReceived(address,
												handler.lastUse(), data)),
								handler);
					ConnectionPool.this.open.add(channel);
				}
			})
			.connect(address);
		call.connectStarted(connectFuture.channel());
		connectFuture.addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				connected.channel().pipeline().get(ClientCall.Handler.class).send(call, request, identifier);
			}
			else {
				request.release();
				call.fail(ResponseListener.Failure.NOT_SENT, String.valueOf(connected.cause()));
			}
		});
		return call;
	}

	/**
	 * Closes the connections that exceeded the maximum idle time.
	 */
	public void closeExpired() {
		long now = System.nanoTime();
		this.idle.values().forEach((handlers) -> {
			while (!handlers.isEmpty() && now - handlers.peekLast().idleSince() > this.idleNanos) {
				handlers.pollLast().close();
			}
		});
		this.idle.values().removeIf(Deque::isEmpty);
	}

	/**
	 * Closes the idle connections to an address.
	 * @param address the address
	 */
	public void closeIdle(InetSocketAddress address) {
		Deque<ClientCall.Handler> handlers = this.idle.remove(address);
		if (handlers != null) {
			handlers.forEach(ClientCall.Handler::close);
		}
	}

	/**
	 * Closes all connections. The calls in progress are cancelled, so that no part of
	 * their requests arrives after the end of this process.
	 */
	public void close() {
		this.idle.clear();
		this.open.forEach((channel) -> channel.pipeline().get(ClientCall.Handler.class).closeOrCancel());
	}

	private ClientCall.Handler acquire(InetSocketAddress address, long maximumIdleNanos) {
		Deque<ClientCall.Handler> handlers = this.idle.get(address);
		long now = System.nanoTime();
		while (handlers != null && !handlers.isEmpty() && now - handlers.peekFirst().idleSince() < maximumIdleNanos) {
			ClientCall.Handler newest = handlers.pollFirst();
			if (newest.isUsable(now)) {
				return newest;
			}
			newest.close();
		}
		return null;
	}

	private void release(InetSocketAddress address, ClientCall.Handler handler) {
		this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>()).addFirst(handler);
	}

}
