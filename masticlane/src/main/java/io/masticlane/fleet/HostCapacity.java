package io.masticlane.fleet;

import java.util.stream.Stream;

/**
 * The resources of an entry host. An unknown resource is zero; amounts that are negative
 * or not finite, which only a faulty writer stores, are treated as unknown.
 *
 * @param cores the processor cores, including fractions
 * @param memoryMegabytes the memory in megabytes
 * @param bandwidthMegabits the bandwidth of the link in Mbit/s
 */
public record HostCapacity(double cores, double memoryMegabytes, double bandwidthMegabits) {

	/**
	 * The capacity of a host that does not state it.
	 */
	public static final HostCapacity UNKNOWN = new HostCapacity(0, 0, 0);

	/**
	 * Creates a capacity.
	 * @param cores the processor cores, including fractions
	 * @param memoryMegabytes the memory in megabytes
	 * @param bandwidthMegabits the bandwidth of the link in Mbit/s
	 */
	public HostCapacity {
		cores = knownOrZero(cores);
		memoryMegabytes = knownOrZero(memoryMegabytes);
		bandwidthMegabits = knownOrZero(bandwidthMegabits);
	}

	/**
	 * Creates the capacity of a host that may use a share of its cores.
	 * @param cores the number of cores, or zero if unknown
	 * @param share the share of each core, or zero if unknown, in which case whole cores
	 * count
	 * @param memoryMegabytes the memory in megabytes, or zero if unknown
	 * @param bandwidthMegabits the bandwidth in Mbit/s, or zero if unknown
	 * @return the capacity
	 */
	public static HostCapacity of(double cores, double share, double memoryMegabytes, double bandwidthMegabits) {
		return new HostCapacity((share > 0) ? cores * share : cores, memoryMegabytes, bandwidthMegabits);
	}

	/**
	 * Returns the largest known amount of each resource.
	 * @param capacities the capacities
	 * @return the largest amounts, unknown where no capacity states one
	 */
	public static HostCapacity largest(Stream<HostCapacity> capacities) {
		return capacities.reduce(UNKNOWN,
				(one, other) -> new HostCapacity(Math.max(one.cores, other.cores),
						Math.max(one.memoryMegabytes, other.memoryMegabytes),
						Math.max(one.bandwidthMegabits, other.bandwidthMegabits)));
	}

	/**
	 * Returns how much this host can carry compared with the largest one: the least of
	 * its fractions, since the scarcest resource limits it. An unknown amount counts as
	 * the largest.
	 * @param largest the largest known amounts
	 * @return the fraction, above 0 and at most 1 if no amount exceeds the largest
	 */
	public double fractionOf(HostCapacity largest) {
		return Math.min(fraction(this.cores, largest.cores),
				Math.min(fraction(this.memoryMegabytes, largest.memoryMegabytes),
						fraction(this.bandwidthMegabits, largest.bandwidthMegabits)));
	}

	private static double fraction(double amount, double largest) {
		return (amount > 0 && largest > 0) ? amount / largest : 1;
	}

	private static double knownOrZero(double amount) {
		return (amount > 0 && Double.isFinite(amount)) ? amount : 0;
	}

}
