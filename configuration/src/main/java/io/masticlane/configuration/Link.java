package io.masticlane.configuration;

/**
 * A link between two regions, with the same bandwidth in each direction.
 *
 * @param from one end of the link
 * @param to the other end of the link
 * @param megabitsPerSecond the bandwidth in each direction
 * @param roundTripMillis the round-trip time
 */
public record Link(String from, String to, double megabitsPerSecond, double roundTripMillis) {

	/**
	 * Creates a new link between two regions, with the same bandwidth in each direction.
	 * @param from one end of the link
	 * @param to the other end of the link
	 * @param megabitsPerSecond the bandwidth in each direction
	 * @param roundTripMillis the round-trip time
	 */
	public Link {
		Check.name("links.from", from);
		Check.name("links.to", to);
		Check.positive("links.megabitsPerSecond", megabitsPerSecond);
		Check.positive("links.roundTripMillis", roundTripMillis);
	}

	/**
	 * Returns whether this link connects two regions.
	 * @param first one region
	 * @param second another region
	 * @return whether this link connects the two regions
	 */
	public boolean joins(String first, String second) {
		return (this.from.equals(first) && this.to.equals(second))
				|| (this.from.equals(second) && this.to.equals(first));
	}

}
