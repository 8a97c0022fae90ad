package io.masticlane.configuration;

/**
 * A block of client addresses and the region nearest to it.
 *
 * @param network the network in CIDR notation
 * @param region the nearest region
 */
public record ClientBlock(String network, String region) {

	/**
	 * Creates a new block of client addresses and the region nearest to it.
	 * @param network the network in CIDR notation
	 * @param region the nearest region
	 */
	public ClientBlock {
		if (network == null || !network.matches("[0-9a-fA-F.:]+/[0-9]{1,3}")) {
			throw new ConfigurationException("clientBlocks.network", network, "a network such as 10.1.0.0/16");
		}
		Check.name("clientBlocks.region", region);
	}

}
