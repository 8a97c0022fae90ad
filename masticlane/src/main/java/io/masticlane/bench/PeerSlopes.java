package io.masticlane.bench;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import io.masticlane.event.EventLog;
import io.masticlane.message.Message;
import io.masticlane.peer.Peer;
import io.masticlane.peer.PeerListener;
import io.masticlane.peer.PeerNetwork;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * Measures the heap of peer connections and the processor time of heartbeats, with one
 * hub that exchanges heartbeats with a number of peers over the loopback interface.
 */
final class PeerSlopes {

	private static final int[] PEER_COUNTS = { 24, 48, 96, 192 };

	private static final int ROUNDS = 100;

	private static final long ROUND_INTERVAL_MILLIS = 20;

	private static final int IDLE_TIMEOUT_MILLIS = 60_000;

	private static final long EXCHANGE_TIMEOUT_MILLIS = 20_000;

	private static final Message HEARTBEAT = new Message.Heartbeat(100_000, 99_999, 14_000, 250, false, 120, 100_000,
			300);

	private static final double NANOS_PER_MICRO = 1e3;

	private final Slopes slopes;

	PeerSlopes(Slopes slopes) {
		this.slopes = slopes;
	}

	void print() {
		measure(PEER_COUNTS[0]);
		this.slopes.measure("heartbeat sent and one received over loopback", "us per exchange",
				(peers) -> measure(peers).micros() * peers, PEER_COUNTS);
		this.slopes.measure("peer connection, heap of one end", "bytes per connection",
				(peers) -> measure(peers).heap(), PEER_COUNTS);
	}

	private static Cost measure(int count) {
		String hubThread = "hub-" + count + "-" + System.nanoTime();
		EventLoopGroup hubLoop = loop(hubThread);
		EventLoopGroup peerLoop = loop("remote");
		AtomicLong received = new AtomicLong();
		List<Channel> serverChannels = new ArrayList<>();
		try {
			long heapBefore = Meter.usedHeap();
			PeerNetwork hub = network(hubLoop, "hub", received);
			serverChannels.add(hub.listen(new InetSocketAddress("127.90.1.1", 0)));
			InetSocketAddress address = (InetSocketAddress) serverChannels.get(0).localAddress();
			List<PeerNetwork> peers = IntStream.range(0, count)
				.mapToObj((index) -> dial(peerLoop, index, address, serverChannels, received))
				.toList();
			exchangeUntilAll(hub, peers, received);
			double heap = (Meter.usedHeap() - heapBefore) / 2.0;
			long cpuBefore = Meter.processorNanos(hubThread);
			for (int round = 0; round < ROUNDS; round++) {
				exchangeHeartbeats(hub, peers);
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ROUND_INTERVAL_MILLIS));
			}
			double micros = (Meter.processorNanos(hubThread) - cpuBefore) / NANOS_PER_MICRO / ROUNDS / count;
			return new Cost(micros, heap);
		}
		finally {
			serverChannels.forEach((channel) -> channel.close().syncUninterruptibly());
			hubLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
			peerLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		}
	}

	private static PeerNetwork dial(EventLoopGroup loop, int index, InetSocketAddress hub, List<Channel> serverChannels,
			AtomicLong received) {
		PeerNetwork peer = network(loop, "peer-" + index, received);
		serverChannels.add(peer.listen(new InetSocketAddress("127.90.1.2", 0)));
		peer.dial(List.of(hub));
		return peer;
	}

	private static void exchangeUntilAll(PeerNetwork hub, List<PeerNetwork> peers, AtomicLong received) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EXCHANGE_TIMEOUT_MILLIS);
		long expected = 2L * peers.size();
		do {
			received.set(0);
			exchangeHeartbeats(hub, peers);
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10 * ROUND_INTERVAL_MILLIS));
		}
		while (received.get() < expected && System.nanoTime() < deadline);
	}

	private static void exchangeHeartbeats(PeerNetwork hub, List<PeerNetwork> peers) {
		hub.sendOnEveryConnection((peer) -> HEARTBEAT);
		peers.forEach((peer) -> peer.sendOnEveryConnection((receiver) -> HEARTBEAT));
	}

	private static EventLoopGroup loop(String thread) {
		ThreadFactory threads = (task) -> new Thread(task, thread);
		return new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory());
	}

	private static PeerNetwork network(EventLoopGroup loop, String host, AtomicLong received) {
		return new PeerNetwork(loop, new Peer(host, host), IDLE_TIMEOUT_MILLIS, new PeerListener() {
			@Override
			public void messageReceived(Peer peer, Message message) {
				received.incrementAndGet();
			}

			@Override
			public void peerLost(Peer peer, String reason) {
			}
		}, EventLog.NoOp.INSTANCE);
	}

	/**
	 * The measured cost of peer connections.
	 *
	 * @param micros the processor time per exchange at the hub in microseconds
	 * @param heap the heap of all connections of one end in bytes
	 */
	private record Cost(double micros, double heap) {
	}

}
