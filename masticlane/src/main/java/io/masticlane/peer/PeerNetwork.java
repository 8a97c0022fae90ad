package io.masticlane.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArraySet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;

import io.masticlane.event.EventLog;
import io.masticlane.message.Message;
import io.masticlane.message.MessageFrame;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Keeps connections to the other entry hosts: dials each, accepts theirs, and replaces a
 * connection that goes silent.
 */
public final class PeerNetwork {

	private static final int CONNECT_MILLIS = 1_000;

	private static final int REDIAL_MILLIS = 500;

	private final EventLoopGroup loops;

	private final Peer self;

	private final int silenceMillis;

	private final PeerListener listener;

	private final EventLog events;

	private final Set<InetSocketAddress> targets = new CopyOnWriteArraySet<>();

	private final Set<InetSocketAddress> dialled = ConcurrentHashMap.newKeySet();

	private final Map<Channel, Greeted> greeted = new ConcurrentHashMap<>();

	private final LongAdder dropped = new LongAdder();

	private volatile InetAddress local;

	/**
	 * Creates a new network.
	 * @param loops the event loops of the peers' side
	 * @param self this process
	 * @param silenceMillis the silence after which a connection is replaced
	 * @param listener the receiver of messages
	 * @param events the log of malformed frames
	 */
	public PeerNetwork(EventLoopGroup loops, Peer self, int silenceMillis, PeerListener listener, EventLog events) {
		this.loops = loops;
		this.self = self;
		this.silenceMillis = silenceMillis;
		this.listener = listener;
		this.events = events;
	}

	/**
	 * Starts listening; connections to peers leave from the same IP number.
	 * @param address the address to listen at
	 * @return the listening channel
	 */
	public Channel listen(InetSocketAddress address) {
		this.local = address.getAddress();
		return new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer())
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Dials addresses, and dials them again whenever a connection is lost.
	 * @param addresses the peers' addresses, which replace all former ones
	 */
	public void dial(Collection<InetSocketAddress> addresses) {
		this.targets.retainAll(addresses);
		this.targets.addAll(addresses);
		this.targets.forEach(this::dial);
	}

	/**
	 * Sends a message to one peer, over the connection with room that was heard last.
	 * @param host the name of the peer's entry host
	 * @param message the message
	 * @return whether the message was written to a connection
	 */
	public boolean send(String host, Message message) {
		Optional<Channel> heardLast = this.greeted.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().peer().host().equals(host) && entry.getKey().isWritable())
			.max(Comparator.comparingLong((entry) -> entry.getValue().heardAt().get()))
			.map(Map.Entry::getKey);
		heardLast.ifPresentOrElse((channel) -> write(channel, message), this.dropped::increment);
		return heardLast.isPresent();
	}

	/**
	 * Sends a message over every connection that has room.
	 * @param message creates the message to each peer
	 */
	public void sendOnEveryConnection(Function<Peer, Message> message) {
		this.greeted.forEach((channel, to) -> {
			if (channel.isWritable()) {
				write(channel, message.apply(to.peer()));
			}
			else {
				this.dropped.increment();
			}
		});
	}

	/**
	 * Returns the messages that were dropped because no connection had room.
	 * @return the number of dropped messages
	 */
	public long dropped() {
		return this.dropped.sum();
	}

	/**
	 * Registers the metrics of the network.
	 * @param registry the registry of metrics
	 */
	public void register(PrometheusRegistry registry) {
		CounterWithCallback.builder()
			.name("masticlane_peer_messages_dropped_total")
			.help("Messages to peers that were dropped because no connection had room.")
			.callback((callback) -> callback.call(dropped()))
			.register(registry);
	}

	static void write(Channel channel, Message message) {
		channel.writeAndFlush(Unpooled.wrappedBuffer(MessageFrame.encode(message)));
	}

	void greeted(Channel channel, Peer peer) {
		this.greeted.put(channel, new Greeted(peer, new AtomicLong(System.nanoTime())));
	}

	void heard(Channel channel) {
		Greeted from = this.greeted.get(channel);
		if (from != null) {
			from.heardAt().set(System.nanoTime());
		}
	}

	void closed(Channel channel, String reason) {
		Greeted from = this.greeted.remove(channel);
		if (from != null && this.greeted.values().stream().noneMatch((each) -> each.peer().equals(from.peer()))) {
			this.listener.lost(from.peer(), reason);
		}
	}

	private void dial(InetSocketAddress address) {
		if (!this.targets.contains(address) || !this.dialled.add(address)) {
			return;
		}
		new Bootstrap().group(this.loops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(initializer())
			.connect(address, new InetSocketAddress(this.local, 0))
			.addListener((ChannelFuture connected) -> connected.channel()
				.closeFuture()
				.addListener((closed) -> dialAgain(address)));
	}

	private void dialAgain(InetSocketAddress address) {
		if (this.loops.isShuttingDown()) {
			return;
		}
		this.loops.schedule(() -> {
			this.dialled.remove(address);
			dial(address);
		}, REDIAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private ChannelInitializer<SocketChannel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new ReadTimeoutHandler(PeerNetwork.this.silenceMillis, TimeUnit.MILLISECONDS),
							new LengthFieldBasedFrameDecoder(MessageFrame.MAXIMUM_BYTES, 0, MessageFrame.LENGTH_BYTES,
									0, MessageFrame.LENGTH_BYTES),
							new LengthFieldPrepender(MessageFrame.LENGTH_BYTES), new PeerHandler(PeerNetwork.this,
									PeerNetwork.this.self, PeerNetwork.this.listener, PeerNetwork.this.events));
			}
		};
	}

	/**
	 * The peer at the other end of a connection.
	 *
	 * @param peer the peer
	 * @param heardAt the time at which the connection was heard last, in nanoseconds
	 */
	private record Greeted(Peer peer, AtomicLong heardAt) {
	}

}
