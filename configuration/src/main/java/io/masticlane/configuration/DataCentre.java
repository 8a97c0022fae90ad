package io.masticlane.configuration;

/**
 * A data centre in a region.
 *
 * @param name the name of the data centre
 * @param region the region in which it is located
 */
public record DataCentre(String name, String region) {

	/**
	 * Creates a new data centre in a region.
	 * @param name the name of the data centre
	 * @param region the region in which it is located
	 */
	public DataCentre {
		Check.name("dataCentres.name", name);
		Check.name("dataCentres.region", region);
	}

}
