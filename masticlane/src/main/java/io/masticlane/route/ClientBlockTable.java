package io.masticlane.route;

import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.masticlane.configuration.ClientBlock;

/**
 * Maps client addresses to regions by longest-prefix match. The nested client blocks are
 * flattened into disjoint ranges, which are searched by binary search. Only the first 64
 * bits of an IPv6 address are significant.
 */
public final class ClientBlockTable {

	private static final int IPV4_BYTES = 4;

	private static final int IPV4_BITS = 32;

	private static final int IPV6_BITS = 64;

	private final String[] regions;

	private final Ranges ipv4;

	private final Ranges ipv6;

	private ClientBlockTable(String[] regions, Ranges ipv4, Ranges ipv6) {
		this.regions = regions;
		this.ipv4 = ipv4;
		this.ipv6 = ipv6;
	}

	/**
	 * Creates a new table.
	 * @param blocks the client blocks, with distinct networks
	 * @return the table
	 */
	public static ClientBlockTable of(List<ClientBlock> blocks) {
		Map<String, Integer> regionIndices = new HashMap<>();
		regionIndices.put("", 0);
		blocks.forEach((block) -> regionIndices.putIfAbsent(block.region(), regionIndices.size()));
		String[] regions = new String[regionIndices.size()];
		regionIndices.forEach((region, number) -> regions[number] = region);
		return new ClientBlockTable(regions, ranges(blocks, IPV4_BYTES, IPV4_BITS, regionIndices),
				ranges(blocks, IPV6_BITS / Byte.SIZE * 2, IPV6_BITS, regionIndices));
	}

	/**
	 * Finds the region of a client.
	 * @param client the address of the client
	 * @return the region of the longest matching block, or an empty string if no block
	 * matches
	 */
	public String region(InetAddress client) {
		byte[] address = client.getAddress();
		Ranges ranges = (address.length == IPV4_BYTES) ? this.ipv4 : this.ipv6;
		return this.regions[ranges.find(key(address))];
	}

	/**
	 * Returns the number of disjoint ranges.
	 * @return the number of ranges
	 */
	public int size() {
		return this.ipv4.starts.length + this.ipv6.starts.length;
	}

	private static Ranges ranges(List<ClientBlock> blocks, int addressBytes, int bits,
			Map<String, Integer> regionIndices) {
		RangeBuilder builder = new RangeBuilder(blocks.size());
		blocks.stream()
			.filter((block) -> block.addressBytes().length == addressBytes)
			.map((block) -> Block.of(block, bits, regionIndices.get(block.region())))
			.sorted(Comparator.comparingLong(Block::first).thenComparing(Block::last, Comparator.reverseOrder()))
			.forEach(builder::add);
		return builder.build();
	}

	/**
	 * Returns the significant bits of an address as a number whose signed order is the
	 * order of addresses.
	 * @param address the bytes of the address
	 * @return the number
	 */
	private static long key(byte[] address) {
		ByteBuffer buffer = ByteBuffer.wrap(address);
		return (address.length == IPV4_BYTES) ? Integer.toUnsignedLong(buffer.getInt())
				: buffer.getLong() ^ Long.MIN_VALUE;
	}

	/**
	 * The range of keys that a client block covers, with the index of its region.
	 */
	private record Block(long first, long last, char region) {

		static Block of(ClientBlock block, int bits, int region) {
			int hostBits = bits - block.prefixLength();
			long mask = (hostBits == Long.SIZE) ? -1L : (1L << hostBits) - 1;
			long unsigned = key(block.addressBytes()) ^ ((bits == IPV6_BITS) ? Long.MIN_VALUE : 0);
			long sign = (bits == IPV6_BITS) ? Long.MIN_VALUE : 0;
			return new Block((unsigned & ~mask) ^ sign, (unsigned | mask) ^ sign, (char) region);
		}

	}

	/**
	 * Disjoint ranges of keys. Each range extends to the start of the next.
	 */
	private record Ranges(long[] starts, char[] regions) {

		int find(long key) {
			int index = Arrays.binarySearch(this.starts, key);
			int range = (index >= 0) ? index : -index - 2;
			return (range >= 0) ? this.regions[range] : 0;
		}

	}

	/**
	 * Flattens blocks, which must be added in the order of their first keys, with outer
	 * blocks before the blocks they contain.
	 */
	private static final class RangeBuilder {

		private final Deque<Block> enclosing = new ArrayDeque<>();

		private long[] starts;

		private char[] regions;

		private int size;

		RangeBuilder(int blocks) {
			this.starts = new long[2 * blocks];
			this.regions = new char[2 * blocks];
		}

		void add(Block block) {
			closeBefore(block.first());
			begin(block.first(), block.region());
			this.enclosing.push(block);
		}

		Ranges build() {
			while (!this.enclosing.isEmpty()) {
				close();
			}
			return new Ranges(Arrays.copyOf(this.starts, this.size), Arrays.copyOf(this.regions, this.size));
		}

		private void closeBefore(long first) {
			while (!this.enclosing.isEmpty() && this.enclosing.peek().last() < first) {
				close();
			}
		}

		private void close() {
			Block innermost = this.enclosing.pop();
			if (innermost.last() != Long.MAX_VALUE) {
				begin(innermost.last() + 1, this.enclosing.isEmpty() ? 0 : this.enclosing.peek().region());
			}
		}

		private void begin(long start, char region) {
			if (this.size > 0 && this.starts[this.size - 1] == start) {
				this.size--;
			}
			if (this.size == 0 || this.regions[this.size - 1] != region) {
				this.starts[this.size] = start;
				this.regions[this.size] = region;
				this.size++;
			}
		}

	}

}
