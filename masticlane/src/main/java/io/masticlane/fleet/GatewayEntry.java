package io.masticlane.fleet;

import java.io.IOException;
import java.util.Optional;

import io.masticlane.registry.IpAddress;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the entry of a gateway in the store, in MessagePack. Later versions
 * append fields; an entry with fewer fields is that of an older version.
 */
public final class GatewayEntry {

	private static final String PREFIX = "masticlane/gateways/";

	/**
	 * The fields of an entry that a version without capacities writes.
	 */
	private static final int FIELDS_WITHOUT_CAPACITY = 9;

	private static final int FIELDS = 12;

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
	 * Returns the host of an entry.
	 * @param key the key of the entry
	 * @return the name of the entry host, or empty if the key is not that of a gateway
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
				.packString(gateway.callerAddress().getAddress().getHostAddress())
				.packInt(gateway.callerAddress().getPort())
				.packString(gateway.peerAddress().getAddress().getHostAddress())
				.packInt(gateway.peerAddress().getPort())
				.packBoolean(gateway.leaving())
				.packDouble(gateway.capacity().cores())
				.packDouble(gateway.capacity().memoryMegabytes())
				.packDouble(gateway.capacity().bandwidthMegabits());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("unexpected I/O failure of a buffer packer", ex);
		}
	}

	/**
	 * Decodes an entry.
	 * @param value the value of the store
	 * @return the gateway
	 * @throws IllegalArgumentException if the value is no valid entry
	 */
	public static Gateway decode(byte[] value) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
			int fields = unpacker.unpackArrayHeader();
			if (fields < FIELDS_WITHOUT_CAPACITY) {
				throw new IllegalArgumentException("the entry has too few fields");
			}
			return new Gateway(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString(),
					unpacker.unpackString(), IpAddress.of(unpacker.unpackString(), unpacker.unpackInt()),
					IpAddress.of(unpacker.unpackString(), unpacker.unpackInt()), unpacker.unpackBoolean(),
					(fields < FIELDS) ? HostCapacity.UNKNOWN : new HostCapacity(unpacker.unpackDouble(),
							unpacker.unpackDouble(), unpacker.unpackDouble()));
		}
		catch (IOException | MessagePackException ex) {
			throw new IllegalArgumentException("the entry is not a valid MessagePack encoding of a gateway: " + ex, ex);
		}
	}

}
