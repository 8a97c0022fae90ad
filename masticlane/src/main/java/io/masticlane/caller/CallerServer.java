package io.masticlane.caller;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.StreamSupport;

import io.masticlane.backend.BackendConnections;
import io.masticlane.memory.MessageMemory;
import io.masticlane.route.RoutingTable;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * The HTTP server for callers.
 */
public final class CallerServer {

	/**
	 * User event that closes a connection if no request is in progress on it.
	 */
	static final Object CLOSE_IDLE = new Object();

	/**
	 * User event that ends the request in flight on a connection, since the process ends.
	 */
	static final Object END_IN_FLIGHT = new Object();

	private static final int MAXIMUM_HEAD_BYTES = 16 * 1024;

	private static final int MAXIMUM_REQUEST_LINE_BYTES = 8 * 1024;

	private final EventLoopGroup loops;

	private final EntryServices services;

	private final int maximumBodyBytes;

	private final ChannelGroup callerChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final Map<EventLoop, BackendConnections> connectionPools = new ConcurrentHashMap<>();

	private final Map<EventLoop, MessageMemory> memories = new ConcurrentHashMap<>();

	private final int loopCount;

	/**
	 * Creates a new server.
	 * @param loops the event loops of the caller side
	 * @param services the services of the entry daemon
	 * @param maximumBodyBytes the maximum size of a request body in bytes
	 */
	public CallerServer(EventLoopGroup loops, EntryServices services, int maximumBodyBytes) {
		this.loops = loops;
		this.loopCount = (int) StreamSupport.stream(loops.spliterator(), false).count();
		this.services = services;
		this.maximumBodyBytes = maximumBodyBytes;
	}

	/**
	 * Binds the server.
	 * @param address the address to listen on
	 * @return the listening channel
	 */
	public Channel listen(InetSocketAddress address) {
		return new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, 1024)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					initialize(channel);
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Notifies every connection that a routing table came into force, so that responses
	 * for revoked keys are ended.
	 * @param table the routing table, which must have been published
	 */
	public void configurationChanged(RoutingTable table) {
		fireOnEveryConnection(table);
	}

	/**
	 * Closes the connections without a request in progress after flushing pending writes.
	 * @return the number of connections that were open
	 */
	public int closeIdle() {
		int open = this.callerChannels.size();
		fireOnEveryConnection(CLOSE_IDLE);
		return open;
	}

	/**
	 * Refuses the requests in flight whose responses have not begun, and closes their
	 * connections after the refusals. Their outcome is unknown if they may have run.
	 */
	public void endInFlight() {
		fireOnEveryConnection(END_IN_FLIGHT);
	}

	private void fireOnEveryConnection(Object event) {
		this.callerChannels
			.forEach((channel) -> channel.eventLoop().execute(() -> channel.pipeline().fireUserEventTriggered(event)));
	}

	private void initialize(SocketChannel channel) {
		this.callerChannels.add(channel);
		BackendConnections pool = this.connectionPools.computeIfAbsent(channel.eventLoop(), BackendConnections::new);
		MessageMemory memory = this.memories.computeIfAbsent(channel.eventLoop(),
				(loop) -> MessageMemory.ofHeap(this.loopCount));
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
			.setMaxHeaderSize(MAXIMUM_HEAD_BYTES);
		channel.pipeline()
			.addLast(new CallerCodec(decoder), new BodyAggregator(() -> this.maximumBodyBytes, memory),
					new RequestHandler(this.services, pool));
	}

}
