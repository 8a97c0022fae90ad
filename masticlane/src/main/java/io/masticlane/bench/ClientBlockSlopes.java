package io.masticlane.bench;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import io.masticlane.configuration.ClientBlock;
import io.masticlane.route.ClientBlockTable;

/**
 * Measures the heap of client blocks, and the rate of region look-ups by client address.
 */
final class ClientBlockSlopes {

	private static final int REGIONS = 2_900;

	private static final int PROBES = 1 << 20;

	private static final int[] BLOCK_COUNTS = { 7, 10_000, 35_000, 70_000, 140_000 };

	private static final long SEED = 42;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Slopes slopes;

	ClientBlockSlopes(Slopes slopes) {
		this.slopes = slopes;
	}

	void print() {
		Meter.heapBytes(Object::new);
		this.slopes.measure("client block table of nested blocks, heap", "bytes per block",
				(count) -> Meter.heapBytes(() -> ClientBlockTable.of(blocks(count))), BLOCK_COUNTS);
		this.slopes.measure("client blocks as configured, heap", "bytes per block",
				(count) -> Meter.heapBytes(() -> blocks(count)), BLOCK_COUNTS);
		this.slopes.measure("client block table built", "ms per block", (count) -> {
			List<ClientBlock> blocks = blocks(count);
			return Meter.processorNanos(() -> ClientBlockTable.of(blocks)) / NANOS_PER_MILLI;
		}, BLOCK_COUNTS);
		IntStream.of(BLOCK_COUNTS)
			.forEach((count) -> this.slopes.printValue("found by client address among " + count + " blocks",
					"million per second and core", lookUpsPerMicro(count)));
	}

	private static double lookUpsPerMicro(int count) {
		ClientBlockTable table = ClientBlockTable.of(blocks(count));
		Random random = new Random(SEED);
		InetAddress[] probes = IntStream.range(0, PROBES)
			.mapToObj((number) -> address(random.nextInt()))
			.toArray(InetAddress[]::new);
		long[] totalLength = new long[1];
		long nanos = Meter.processorNanos(() -> {
			for (InetAddress probe : probes) {
				totalLength[0] += table.region(probe).length();
			}
		});
		return (totalLength[0] >= 0) ? PROBES * 1e3 / nanos : Double.NaN;
	}

	/**
	 * Returns random blocks, one in sixteen with a prefix of 16 bits and the others with
	 * 24 bits. Where blocks overlap, the longer prefix is nested in the shorter one.
	 * @param count the number of blocks
	 * @return the blocks
	 */
	private static List<ClientBlock> blocks(int count) {
		Random random = new Random(SEED);
		return IntStream.range(0, count).mapToObj((number) -> {
			int prefixBits = (number % 16 == 0) ? 16 : 24;
			int network = random.nextInt() & (-1 << (Integer.SIZE - prefixBits));
			return new ClientBlock(address(network).getHostAddress() + "/" + prefixBits,
					"site-" + random.nextInt(REGIONS));
		}).toList();
	}

	private static InetAddress address(int bits) {
		try {
			return InetAddress
				.getByAddress(new byte[] { (byte) (bits >> 24), (byte) (bits >> 16), (byte) (bits >> 8), (byte) bits });
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("an address of four bytes is valid", ex);
		}
	}

}
