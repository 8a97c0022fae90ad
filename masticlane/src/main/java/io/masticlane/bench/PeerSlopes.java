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
 * What a peer connection and a heartbeat over it cost: one hub that exchanges heartbeats
 * with a number of peers over loopback.
 */
final class PeerSlopes {

	private static final int[] PEERS = { 24, 48, 96, 192 };

	private static final int ROUNDS = 100;

	private static final long ROUND_MILLIS = 20;

	private static final int SILENCE_MILLIS = 60_000;

	private static final long DEADLINE_MILLIS = 20_000;

	private static final Message HEARTBEAT = new Message.Heartbeat(100_000, 99_999, 14_000, 250, false, 120, 100_000,
			250);

	private static final double NANOS_PER_MICRO = 1e3;

	private final Slopes slopes;

	PeerSlopes(Slopes slopes) {
		this.slopes = slopes;
	}

	void print() {
		measure(PEERS[0]);
		this.slopes.line("heartbeat sent and one received over loopback", "us per exchange",
				(peers) -> measure(peers).micros() * peers, PEERS);
		this.slopes.line("peer connection, heap of one end", "bytes per connection", (peers) -> measure(peers).heap(),
				PEERS);
	}

	private static Cost measure(int count) {
		String hubThread = "hub-" + count + "-" + System.nanoTime();
		EventLoopGroup hubLoop = loop(hubThread);
		EventLoopGroup peerLoop = loop("remote");
		AtomicLong heard = new AtomicLong();
		List<Channel> listening = new ArrayList<>();
		try {
			long heapBefore = Meter.usedHeap();
			PeerNetwork hub = network(hubLoop, "hub", heard);
			listening.add(hub.listen(new InetSocketAddress("127.90.1.1", 0)));
			InetSocketAddress address = (InetSocketAddress) listening.get(0).localAddress();
			List<PeerNetwork> peers = IntStream.range(0, count)
				.mapToObj((index) -> dial(peerLoop, index, address, listening, heard))
				.toList();
			exchangeUntilAll(hub, peers, heard);
			double heap = (Meter.usedHeap() - heapBefore) / 2.0;
			long cpuBefore = Meter.processorNanos(hubThread);
			for (int round = 0; round < ROUNDS; round++) {
				exchange(hub, peers);
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS));
			}
			double micros = (Meter.processorNanos(hubThread) - cpuBefore) / NANOS_PER_MICRO / ROUNDS / count;
			return new Cost(micros, heap);
		}
		finally {
			listening.forEach((channel) -> channel.close().syncUninterruptibly());
			hubLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
			peerLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		}
	}

	private static PeerNetwork dial(EventLoopGroup loop, int index, InetSocketAddress hub, List<Channel> listening,
			AtomicLong heard) {
		PeerNetwork peer = network(loop, "peer-" + index, heard);
		listening.add(peer.listen(new InetSocketAddress("127.90.1.2", 0)));
		peer.dial(List.of(hub));
		return peer;
	}

	private static void exchangeUntilAll(PeerNetwork hub, List<PeerNetwork> peers, AtomicLong heard) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS);
		long wanted = 2L * peers.size();
		do {
			heard.set(0);
			exchange(hub, peers);
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10 * ROUND_MILLIS));
		}
		while (heard.get() < wanted && System.nanoTime() < deadline);
	}

	private static void exchange(PeerNetwork hub, List<PeerNetwork> peers) {
		hub.sendOnEveryConnection((peer) -> HEARTBEAT);
		peers.forEach((peer) -> peer.sendOnEveryConnection((receiver) -> HEARTBEAT));
	}

	private static EventLoopGroup loop(String thread) {
		ThreadFactory threads = (task) -> new Thread(task, thread);
		return new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory());
	}

	private static PeerNetwork network(EventLoopGroup loop, String host, AtomicLong heard) {
		return new PeerNetwork(loop, new Peer(host, host), SILENCE_MILLIS, new PeerListener() {
			@Override
			public void heard(Peer peer, Message message) {
				heard.incrementAndGet();
			}

			@Override
			public void lost(Peer peer, String reason) {
			}
		}, EventLog.NoOp.INSTANCE);
	}

	/**
	 * What was measured.
	 *
	 * @param micros the processor time of one exchange at the hub in microseconds
	 * @param heap the heap of all connections of one end in bytes
	 */
	private record Cost(double micros, double heap) {
	}

}
