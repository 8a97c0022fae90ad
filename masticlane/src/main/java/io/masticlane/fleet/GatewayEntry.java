package io.masticlane.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The entry of a gateway in the store, as MessagePack.
 */
public final class GatewayEntry {

	private static final String PREFIX = "masticlane/gateways/";

	private static final int FIELDS = 9;

	private GatewayEntry() {
	}

	/**
	 * Returns the key of a gateway's entry.
	 * @param host the name of its entry host
	 * @return the key
	 */
	public static String key(String host) {
		return PREFIX + host;
	}

	/**
	 * Returns the host whose entry a key holds.
	 * @param key the key
	 * @return the name of the entry host, if the key holds an entry
	 */
	public static Optional<String> host(String key) {
		return key.startsWith(PREFIX) ? Optional.of(key.substring(PREFIX.length())) : Optional.empty();
	}

	/**
	 * Encodes an entry.
	 * @param gateway the gateway
	 * @return the value for the store
	 */
	public static byte[] encode(Gateway gateway) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(FIELDS)
				.packString(gateway.host())
				.packString(gateway.incarnation())
				.packString(gateway.dataCentre())
				.packString(gateway.region())
				.packString(gateway.callerAddress().getHostString())
				.packInt(gateway.callerAddress().getPort())
				.packString(gateway.peerAddress().getHostString())
				.packInt(gateway.peerAddress().getPort())
				.packBoolean(gateway.leaving());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("a buffer packer does no input or output", ex);
		}
	}

	/**
	 * Decodes an entry.
	 * @param value the value of the store
	 * @return the gateway
	 * @throws IllegalArgumentException if the value holds no entry
	 */
	public static Gateway decode(byte[] value) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
			if (unpacker.unpackArrayHeader() < FIELDS) {
				throw new IllegalArgumentException("the entry has too few fields");
			}
			return new Gateway(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(),
					unpacker.unpackString(), new InetSocketAddress(unpacker.unpackString(), unpacker.unpackInt()),
					new InetSocketAddress(unpacker.unpackString(), unpacker.unpackInt()), unpacker.unpackBoolean());
		}
		catch (IOException | MessagePackException ex) {
			throw new IllegalArgumentException("the entry is no MessagePack of a gateway: " + ex, ex);
		}
	}

}
