package io.masticlane.configuration;

/**
 * A region of data centres.
 *
 * @param name the name of the region
 * @param requestsPerSecond the capacity of the region in requests per second
 */
public record Region(String name, double requestsPerSecond) {

	/**
	 * Creates a new region of data centres.
	 * @param name the name of the region
	 * @param requestsPerSecond the capacity of the region in requests per second
	 */
	public Region {
		Check.name("regions.name", name);
		Check.positive("regions.requestsPerSecond", requestsPerSecond);
	}

}
