package io.masticlane.caller;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.masticlane.backend.BackendConnections;
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
 * Listens for callers.
 */
public final class CallerServer {

	/**
	 * Asks a connection to close if no request is under way on it.
	 */
	static final Object CLOSE_IDLE = new Object();

	private static final int MAXIMUM_HEAD_BYTES = 16 * 1024;

	private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

	private final EventLoopGroup loops;

	private final EntryServices services;

	private final int maximumBodyBytes;

	private final ChannelGroup callers = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final Map<EventLoop, BackendConnections> connections = new ConcurrentHashMap<>();

	/**
	 * Creates a new server.
	 * @param loops the event loops of the callers' side
	 * @param services what the server uses of the daemon
	 * @param maximumBodyBytes the largest request body that is carried
	 */
	public CallerServer(EventLoopGroup loops, EntryServices services, int maximumBodyBytes) {
		this.loops = loops;
		this.services = services;
		this.maximumBodyBytes = maximumBodyBytes;
	}

	/**
	 * Starts listening.
	 * @param address the address to listen at
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
	 * Tells every caller's connection that a routing table came into force, so that
	 * answers for withdrawn keys end.
	 * @param table the routing table, which is published already
	 */
	public void configurationChanged(RoutingTable table) {
		this.callers
			.forEach((channel) -> channel.eventLoop().execute(() -> channel.pipeline().fireUserEventTriggered(table)));
	}

	/**
	 * Closes the connections without a request under way, once all written is flushed.
	 * @return the number of connections that were open
	 */
	public int closeIdle() {
		int open = this.callers.size();
		this.callers.forEach(
				(channel) -> channel.eventLoop().execute(() -> channel.pipeline().fireUserEventTriggered(CLOSE_IDLE)));
		return open;
	}

	private void initialize(SocketChannel channel) {
		this.callers.add(channel);
		BackendConnections pool = this.connections.computeIfAbsent(channel.eventLoop(), BackendConnections::new);
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
			.setMaxHeaderSize(MAXIMUM_HEAD_BYTES);
		channel.pipeline()
			.addLast(new CallerCodec(decoder), new BodyAggregator(this.maximumBodyBytes),
					new RequestHandler(this.services, pool));
	}

}
