package io.masticlane.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
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
 * Maintains the connections to the other entry hosts: dials each host, accepts
 * connections from them, and replaces a connection on which nothing was received for the
 * idle timeout.
 */
public final class PeerNetwork {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int REDIAL_DELAY_MILLIS = 500;

	private final EventLoopGroup eventLoops;

	private final Peer self;

	private final int idleTimeoutMillis;

	private final PeerListener listener;

	private final EventLog events;

	private final Set<InetSocketAddress> targetAddresses = new CopyOnWriteArraySet<>();

	private final Set<InetSocketAddress> dialledAddresses = ConcurrentHashMap.newKeySet();

	private final Map<Channel, GreetedPeer> connections = new ConcurrentHashMap<>();

	private final LongAdder droppedMessages = new LongAdder();

	private volatile InetAddress localAddress;

	/**
	 * Creates a new network.
	 * @param eventLoops the event loops of the peer connections
	 * @param self this process
	 * @param idleTimeoutMillis the time without a received message after which a
	 * connection is closed
	 * @param listener the receiver of messages and lost peers
	 * @param events the log of malformed frames
	 */
	public PeerNetwork(EventLoopGroup eventLoops, Peer self, int idleTimeoutMillis, PeerListener listener,
			EventLog events) {
		this.eventLoops = eventLoops;
		this.self = self;
		this.idleTimeoutMillis = idleTimeoutMillis;
		this.listener = listener;
		this.events = events;
	}

	/**
	 * Starts listening. Outgoing connections to peers use the same local IP address.
	 * @param address the address to listen at
	 * @return the listening channel
	 */
	public Channel listen(InetSocketAddress address) {
		this.localAddress = address.getAddress();
		return new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer())
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Connects to addresses, and reconnects whenever a connection is lost.
	 * @param addresses the peers' addresses, which replace all previous ones
	 */
	public void dial(Collection<InetSocketAddress> addresses) {
		this.targetAddresses.retainAll(addresses);
		this.targetAddresses.addAll(addresses);
		this.targetAddresses.forEach(this::dial);
	}

	/**
	 * Sends a message to one peer, over the writable connection on which a message was
	 * received last.
	 * @param host the name of the peer's entry host
	 * @param message the message
	 * @return whether the message was written to a connection
	 */
	public boolean send(String host, Message message) {
		Optional<Channel> mostRecent = this.connections.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().peer().host().equals(host) && entry.getKey().isWritable())
			.max(Comparator.comparingLong((entry) -> entry.getValue().lastReceivedAt().get()))
			.map(Map.Entry::getKey);
		mostRecent.ifPresentOrElse((channel) -> write(channel, message), this.droppedMessages::increment);
		return mostRecent.isPresent();
	}

	/**
	 * Sends a message over every writable connection.
	 * @param message creates the message for each peer
	 */
	public void sendOnEveryConnection(Function<Peer, Message> message) {
		this.connections.forEach((channel, receiver) -> {
			if (channel.isWritable()) {
				write(channel, message.apply(receiver.peer()));
			}
			else {
				this.droppedMessages.increment();
			}
		});
	}

	/**
	 * Sends a message to several peers, each over the connection on which a message was
	 * received last. The message is encoded once.
	 * @param hosts the names of the peers' entry hosts; those without a connection are
	 * left out
	 * @param message the message
	 */
	public void send(Set<String> hosts, Message message) {
		Map<String, Channel> channels = new HashMap<>();
		this.connections.forEach((channel, receiver) -> {
			if (hosts.contains(receiver.peer().host())) {
				channels.merge(receiver.peer().host(), channel, this::lastHeard);
			}
		});
		if (channels.isEmpty()) {
			return;
		}
		byte[] payload = MessageFrame.encode(message);
		channels.values().forEach((channel) -> {
			if (channel.isWritable()) {
				channel.writeAndFlush(Unpooled.wrappedBuffer(payload));
			}
			else {
				this.droppedMessages.increment();
			}
		});
	}

	/**
	 * Returns whether a connection to a peer is open.
	 * @param host the name of the peer's entry host
	 * @return whether a connection is open
	 */
	public boolean isConnected(String host) {
		return this.connections.values().stream().anyMatch((each) -> each.peer().host().equals(host));
	}

	/**
	 * Returns whether this process connects, or is connected, to an address by itself.
	 * @param address the address
	 * @return whether the connection is an outgoing one
	 */
	public boolean isDialled(InetSocketAddress address) {
		return this.dialledAddresses.contains(address);
	}

	private Channel lastHeard(Channel one, Channel other) {
		GreetedPeer first = this.connections.get(one);
		GreetedPeer second = this.connections.get(other);
		return (first == null || second != null && second.lastReceivedAt().get() > first.lastReceivedAt().get()) ? other
				: one;
	}

	/**
	 * Returns the number of messages that were dropped because no connection was
	 * writable.
	 * @return the number of dropped messages
	 */
	public long dropped() {
		return this.droppedMessages.sum();
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

	void connectionGreeted(Channel channel, Peer peer) {
		this.connections.put(channel, new GreetedPeer(peer, new AtomicLong(System.nanoTime())));
	}

	void messageReceived(Channel channel) {
		GreetedPeer sender = this.connections.get(channel);
		if (sender != null) {
			sender.lastReceivedAt().set(System.nanoTime());
		}
	}

	void connectionClosed(Channel channel, String reason) {
		GreetedPeer sender = this.connections.remove(channel);
		if (sender != null
				&& this.connections.values().stream().noneMatch((each) -> each.peer().equals(sender.peer()))) {
			this.listener.peerLost(sender.peer(), reason);
		}
	}

	private void dial(InetSocketAddress address) {
		if (!this.targetAddresses.contains(address) || !this.dialledAddresses.add(address)) {
			return;
		}
		new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(initializer())
			.connect(address, new InetSocketAddress(this.localAddress, 0))
			.addListener((ChannelFuture connected) -> connected.channel()
				.closeFuture()
				.addListener((closed) -> scheduleRedial(address)));
	}

	private void scheduleRedial(InetSocketAddress address) {
		if (this.eventLoops.isShuttingDown()) {
			return;
		}
		this.eventLoops.schedule(() -> {
			this.dialledAddresses.remove(address);
			dial(address);
		}, REDIAL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private ChannelInitializer<SocketChannel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new ReadTimeoutHandler(PeerNetwork.this.idleTimeoutMillis, TimeUnit.MILLISECONDS),
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
	 * @param lastReceivedAt the time of the last received message in nanoseconds
	 */
	private record GreetedPeer(Peer peer, AtomicLong lastReceivedAt) {
	}

}
