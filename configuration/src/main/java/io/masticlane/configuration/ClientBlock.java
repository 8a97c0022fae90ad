package io.masticlane.configuration;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * A block of client addresses and the region closest to it.
 *
 * @param network the network in CIDR notation
 * @param region the closest region
 */
public record ClientBlock(String network, String region) {

	/**
	 * The maximum prefix length of an IPv6 block in bits; a longer prefix would split a
	 * subnet.
	 */
	public static final int LONGEST_IPV6_PREFIX = 64;

	private static final int LONGEST_IPV4_PREFIX = 32;

	private static final Pattern IPV4 = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}/[0-9]{1,2}");

	private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:]*:[0-9a-fA-F:]*/[0-9]{1,3}");

	/**
	 * Creates a new block of client addresses and the region closest to it.
	 * @param network the network in CIDR notation
	 * @param region the closest region
	 */
	public ClientBlock {
		if (network == null || !isValidNetwork(network)) {
			throw new ConfigurationException("clientBlocks.network", network,
					"a network such as 10.1.0.0/16 or 2001:db8::/48, of at most 32 or 64 bits");
		}
		Check.name("clientBlocks.region", region);
	}

	/**
	 * Returns the address of the network in network byte order.
	 * @return the address, 4 bytes for IPv4 and 16 bytes for IPv6
	 */
	public byte[] addressBytes() {
		return parseAddress(this.network);
	}

	/**
	 * Returns the prefix length of the network.
	 * @return the prefix length in bits
	 */
	public int prefixLength() {
		return prefixLength(this.network);
	}

	private static boolean isValidNetwork(String network) {
		int maximumPrefixLength;
		if (IPV4.matcher(network).matches()) {
			maximumPrefixLength = LONGEST_IPV4_PREFIX;
		}
		else if (IPV6.matcher(network).matches()) {
			maximumPrefixLength = LONGEST_IPV6_PREFIX;
		}
		else {
			return false;
		}
		return prefixLength(network) <= maximumPrefixLength && parseAddress(network).length > 0;
	}

	private static int prefixLength(String network) {
		return Integer.parseInt(network.substring(network.indexOf('/') + 1));
	}

	private static byte[] parseAddress(String network) {
		try {
			// An IPv6 literal in brackets is never resolved as a host name.
			String address = network.substring(0, network.indexOf('/'));
			return InetAddress.getByName((address.indexOf(':') >= 0) ? "[" + address + "]" : address).getAddress();
		}
		catch (UnknownHostException ex) {
			return new byte[0];
		}
	}

}
