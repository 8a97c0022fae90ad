package io.masticlane.configuration;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * A block of client addresses and the region nearest to it.
 *
 * @param network the network in CIDR notation
 * @param region the nearest region
 */
public record ClientBlock(String network, String region) {

	/**
	 * The longest prefix of an IPv6 block in bits; a longer one would divide a subnet.
	 */
	public static final int LONGEST_IPV6_PREFIX = 64;

	private static final int LONGEST_IPV4_PREFIX = 32;

	private static final Pattern IPV4 = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}/[0-9]{1,2}");

	private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:]*:[0-9a-fA-F:]*/[0-9]{1,3}");

	/**
	 * Creates a new block of client addresses and the region nearest to it.
	 * @param network the network in CIDR notation
	 * @param region the nearest region
	 */
	public ClientBlock {
		if (network == null || !isNetwork(network)) {
			throw new ConfigurationException("clientBlocks.network", network,
					"a network such as 10.1.0.0/16 or 2001:db8::/48, of at most 32 or 64 bits");
		}
		Check.name("clientBlocks.region", region);
	}

	/**
	 * Returns the bytes of the network's address: 4 for IPv4, 16 for IPv6.
	 * @return the bytes of the network's address
	 */
	public byte[] addressBytes() {
		return parse(this.network);
	}

	/**
	 * Returns the length of the network's prefix in bits.
	 * @return the length of the network's prefix in bits
	 */
	public int prefixLength() {
		return prefixLength(this.network);
	}

	private static boolean isNetwork(String network) {
		int longest;
		if (IPV4.matcher(network).matches()) {
			longest = LONGEST_IPV4_PREFIX;
		}
		else if (IPV6.matcher(network).matches()) {
			longest = LONGEST_IPV6_PREFIX;
		}
		else {
			return false;
		}
		return prefixLength(network) <= longest && parse(network).length > 0;
	}

	private static int prefixLength(String network) {
		return Integer.parseInt(network.substring(network.indexOf('/') + 1));
	}

	private static byte[] parse(String network) {
		try {
			// A literal in brackets is never looked up as a name.
			String address = network.substring(0, network.indexOf('/'));
			return InetAddress.getByName((address.indexOf(':') >= 0) ? "[" + address + "]" : address).getAddress();
		}
		catch (UnknownHostException ex) {
			return new byte[0];
		}
	}

}
