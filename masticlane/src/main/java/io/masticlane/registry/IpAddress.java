package io.masticlane.registry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

import io.netty.util.NetUtil;

/**
 * Creates socket addresses from documents of the store without resolving names, which
 * would block the event loop.
 */
public final class IpAddress {

	private static final int MAXIMUM_PORT = 65_535;

	private static final int MAXIMUM_TEXT_LENGTH = 45;

	private IpAddress() {
	}

	/**
	 * Creates an address.
	 * @param host the IP address as text
	 * @param port the port
	 * @return the address
	 * @throws IllegalArgumentException if the text is no IP address or no server can
	 * listen at the port
	 */
	public static InetSocketAddress of(String host, int port) {
		byte[] bytes = (host.length() <= MAXIMUM_TEXT_LENGTH) ? NetUtil.createByteArrayFromIpAddressString(host) : null;
		if (bytes == null || port < 1 || port > MAXIMUM_PORT) {
			throw new IllegalArgumentException("expected an IP address and a port from 1 to " + MAXIMUM_PORT);
		}
		try {
			return new InetSocketAddress(InetAddress.getByAddress(host, bytes), port);
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("expected an IP address of 4 or 16 bytes", ex);
		}
	}

}
