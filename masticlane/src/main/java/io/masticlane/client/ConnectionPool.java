package io.masticlane.client;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.masticlane.memory.MessageMemory;
import io.masticlane.memory.Reservation;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * The pool of connections from one event loop to other processes. A connection is used
 * for one call at a time and is reused only after a complete response to its call. The
 * other end may write a response more than once, so a connection carries an identifier
 * once, and a call without one has a connection of its own, which may be opened ahead.
 */
public final class ConnectionPool {

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

	private final Map<Destination, Deque<ClientCall.Handler>> idle = new HashMap<>();

	private final Set<Destination> preparing = new HashSet<>();

	private final ChannelGroup open;

	private final IdleConnectionListener idleConnectionListener;

	private long connections;

	/**
	 * Creates a pool.
	 * @param loop the event loop, on which calls are made and completed
	 * @param connectTimeoutMillis the timeout for connecting, in milliseconds
	 * @param idleMillis the maximum idle time of a connection, in milliseconds
	 * @param memory the memory for the bodies of responses
	 * @param idleConnectionListener notified of data on idle connections, and of the
	 * connections that the other end closes
	 */
	public ConnectionPool(EventLoop loop, int connectTimeoutMillis, long idleMillis, MessageMemory memory,
			IdleConnectionListener idleConnectionListener) {
		this.loop = loop;
		this.connectTimeoutMillis = connectTimeoutMillis;
		this.idleNanos = TimeUnit.MILLISECONDS.toNanos(idleMillis);
		this.memory = memory;
		this.open = new DefaultChannelGroup(loop);
		this.idleConnectionListener = idleConnectionListener;
	}

	/**
	 * Makes a call.
	 * @param address the address of the other end
	 * @param request the request, which is released
	 * @param identifier the identifier of the request that its response repeats; without
	 * one, the call has a connection of its own
	 * @param maximumIdleMillis the maximum idle time of the connection, in milliseconds
	 * @param listener receives the result of the call
	 * @return the call
	 */
	public ClientCall call(InetSocketAddress address, FullHttpRequest request, Optional<String> identifier,
			long maximumIdleMillis, ResponseListener listener) {
		return call(address, request, identifier, maximumIdleMillis, Optional.empty(), listener);
	}

	/**
	 * Makes a call for whose response memory may be reserved.
	 * @param address the address of the other end
	 * @param request the request, which is released
	 * @param identifier the identifier of the request that its response repeats; without
	 * one, the call has a connection of its own
	 * @param maximumIdleMillis the maximum idle time of the connection, in milliseconds
	 * @param reservation the memory for the body of the response, or empty if none is
	 * reserved
	 * @param listener receives the result of the call
	 * @return the call
	 */
	public ClientCall call(InetSocketAddress address, FullHttpRequest request, Optional<String> identifier,
			long maximumIdleMillis, Optional<Reservation> reservation, ResponseListener listener) {
		ClientCall call = new ClientCall(listener, reservation);
		Destination destination = new Destination(address, request.method().equals(HttpMethod.HEAD));
		Optional<ClientCall.Handler> pooled = acquire(destination, identifier,
				TimeUnit.MILLISECONDS.toNanos(maximumIdleMillis));
		Optional<ClientCall.Handler> carrier = identifier.flatMap((sent) -> findCarrier(destination, sent));
		if (pooled.isPresent()) {
			pooled.get().send(call, request, identifier, carrier.isPresent());
			return call;
		}
		// The new connection replaces one that the identifier rules out. Otherwise a
		// caller could open any number by sending one identifier again and again.
		carrier.ifPresent((replaced) -> {
			this.idle.get(destination).remove(replaced);
			replaced.close();
		});
		ChannelFuture connectFuture = connect(destination);
		call.connectStarted(connectFuture.channel(), carrier.isPresent());
		// A future that fails without a channel, for lack of a descriptor, completes on
		// another thread.
		connectFuture.addListener((ChannelFuture connected) -> runOnLoop(
				() -> connectCompleted(connected, call, request, identifier, carrier.isPresent())));
		return call;
	}

	/**
	 * Opens a connection ahead of the next call without an identifier, which then takes
	 * no round trip to connect. Does nothing if there is such a connection already. A
	 * connection that cannot be opened counts as closed by the other end.
	 * @param address the address of the other end
	 */
	public void prepare(InetSocketAddress address) {
		closeExpired();
		Destination destination = new Destination(address, false);
		boolean prepared = this.idle.getOrDefault(destination, new ArrayDeque<>())
			.stream()
			.anyMatch(ClientCall.Handler::isUnused);
		if (prepared || !this.preparing.add(destination)) {
			return;
		}
		connect(destination).addListener((ChannelFuture connected) -> runOnLoop(() -> {
			this.preparing.remove(destination);
			if (connected.isSuccess()) {
				release(destination, connected.channel().pipeline().get(ClientCall.Handler.class));
			}
			else {
				this.idleConnectionListener.connectionClosed(address);
			}
		}));
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
		Stream.of(true, false)
			.map((head) -> this.idle.remove(new Destination(address, head)))
			.filter(Objects::nonNull)
			.flatMap(Deque::stream)
			.forEach(ClientCall.Handler::close);
	}

	/**
	 * Closes all connections. The calls in progress are cancelled, so that no part of
	 * their requests arrives after the end of this process.
	 */
	public void close() {
		this.idle.clear();
		this.open.forEach((channel) -> channel.pipeline().get(ClientCall.Handler.class).closeOrCancel());
	}

	private ChannelFuture connect(Destination destination) {
		return new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMillis)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR, READ_LIMITS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					initialize(channel, destination);
				}
			})
			.connect(destination.address());
	}

	private void connectCompleted(ChannelFuture connected, ClientCall call, FullHttpRequest request,
			Optional<String> identifier, boolean repeated) {
		if (connected.isSuccess()) {
			connected.channel().pipeline().get(ClientCall.Handler.class).send(call, request, identifier, repeated);
		}
		else {
			request.release();
			call.fail(ResponseListener.Failure.NOT_SENT, String.valueOf(connected.cause()));
		}
	}

	private void runOnLoop(Runnable task) {
		if (this.loop.inEventLoop()) {
			task.run();
		}
		else {
			this.loop.execute(task);
		}
	}

	private void initialize(SocketChannel channel, Destination destination) {
		ClientCall.Handler handler = new ClientCall.Handler(++this.connections, destination.head(),
				(released) -> release(destination, released),
				(lastUse, data) -> this.idleConnectionListener.dataReceived(destination.address(), lastUse, data),
				() -> this.idleConnectionListener.connectionClosed(destination.address()));
		channel.pipeline()
			.addLast(new HttpRequestEncoder(), handler.decoder(),
					new ResponseAggregator(this.memory, handler::isAwaitingResponse, handler::reservation), handler);
		this.open.add(channel);
	}

	/**
	 * Takes the newest idle connection that has not carried an identifier, or that has
	 * carried no call if there is no identifier.
	 * @param destination the destination of the call
	 * @param identifier the identifier of the call, if it has one
	 * @param maximumIdleNanos the maximum idle time of the connection, in nanoseconds
	 * @return the connection, if there is one
	 */
	private Optional<ClientCall.Handler> acquire(Destination destination, Optional<String> identifier,
			long maximumIdleNanos) {
		Deque<ClientCall.Handler> handlers = this.idle.getOrDefault(destination, new ArrayDeque<>());
		long now = System.nanoTime();
		handlers.removeIf((each) -> each.closeIfUnusable(now));
		Optional<ClientCall.Handler> acquired = handlers.stream()
			.takeWhile((each) -> now - each.idleSince() < maximumIdleNanos)
			.filter((each) -> identifier.map((sent) -> !each.hasCarried(sent)).orElseGet(each::isUnused))
			.findFirst();
		acquired.ifPresent(handlers::remove);
		return acquired;
	}

	private Optional<ClientCall.Handler> findCarrier(Destination destination, String identifier) {
		return this.idle.getOrDefault(destination, new ArrayDeque<>())
			.stream()
			.filter((each) -> each.hasCarried(identifier))
			.findFirst();
	}

	private void release(Destination destination, ClientCall.Handler handler) {
		this.idle.computeIfAbsent(destination, (key) -> new ArrayDeque<>()).addFirst(handler);
	}

	/**
	 * Where calls go. Responses to HEAD requests have no body, and those to other
	 * requests may have one, so they have connections of their own.
	 */
	private record Destination(InetSocketAddress address, boolean head) {
	}

}
