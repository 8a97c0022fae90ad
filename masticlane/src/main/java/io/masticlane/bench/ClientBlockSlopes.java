package io.masticlane.bench;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import io.masticlane.configuration.ClientBlock;
import io.masticlane.route.ClientBlockTable;

/**
 * The heap of held client blocks and the rate of look-ups among them.
 */
final class ClientBlockSlopes {

	private static final int SITES = 2_900;

	private static final int PROBES = 1 << 20;

	private static final int[] BLOCKS = { 7, 10_000, 35_000, 70_000, 140_000 };

	private static final long SEED = 42;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Slopes slopes;

	ClientBlockSlopes(Slopes slopes) {
		this.slopes = slopes;
	}

	void print() {
		Meter.heapBytes(Object::new);
		this.slopes.line("client block table of nested blocks, heap", "bytes per block",
				(count) -> Meter.heapBytes(() -> ClientBlockTable.of(blocks(count))), BLOCKS);
		this.slopes.line("client blocks as configured, heap", "bytes per block",
				(count) -> Meter.heapBytes(() -> blocks(count)), BLOCKS);
		this.slopes.line("client block table built", "ms per block", (count) -> {
			List<ClientBlock> blocks = blocks(count);
			return Meter.processorNanos(() -> ClientBlockTable.of(blocks)) / NANOS_PER_MILLI;
		}, BLOCKS);
		IntStream.of(BLOCKS)
			.forEach((count) -> this.slopes.figure("found by client address among " + count + " blocks",
					"million per second and core", findsPerMicro(count)));
	}

	private static double findsPerMicro(int count) {
		ClientBlockTable table = ClientBlockTable.of(blocks(count));
		Random random = new Random(SEED);
		InetAddress[] probes = IntStream.range(0, PROBES)
			.mapToObj((number) -> address(random.nextInt()))
			.toArray(InetAddress[]::new);
		long[] length = new long[1];
		long nanos = Meter.processorNanos(() -> {
			for (InetAddress probe : probes) {
				length[0] += table.region(probe).length();
			}
		});
		return (length[0] >= 0) ? PROBES * 1e3 / nanos : Double.NaN;
	}

	/**
	 * Returns one block of 16 bits for every fifteen of 24 bits, which lie within the
	 * former where they meet.
	 * @param count the number of blocks
	 * @return the blocks
	 */
	private static List<ClientBlock> blocks(int count) {
		Random random = new Random(SEED);
		return IntStream.range(0, count).mapToObj((number) -> {
			int bits = (number % 16 == 0) ? 16 : 24;
			int network = random.nextInt() & (-1 << (Integer.SIZE - bits));
			return new ClientBlock(address(network).getHostAddress() + "/" + bits, "site-" + random.nextInt(SITES));
		}).toList();
	}

	private static InetAddress address(int bits) {
		try {
			return InetAddress
				.getByAddress(new byte[] { (byte) (bits >> 24), (byte) (bits >> 16), (byte) (bits >> 8), (byte) bits });
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("four bytes are an address", ex);
		}
	}

}
