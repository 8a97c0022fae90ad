package io.masticlane.message;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Converts messages to and from the payload of a length-prefixed frame.
 */
public final class MessageFrame {

	/**
	 * The maximum payload of a frame in bytes: a configuration document and its envelope.
	 */
	public static final int MAXIMUM_BYTES = 1024 * 1024 + 4096;

	/**
	 * The size of the length prefix in bytes.
	 */
	public static final int LENGTH_BYTES = 4;

	private MessageFrame() {
	}

	/**
	 * Encodes a message without its length prefix.
	 * @param message the message to encode
	 * @return the payload of its frame
	 */
	public static byte[] encode(Message message) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			message.encode(packer);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("in-memory packer failed to encode the message", ex);
		}
	}

	/**
	 * Decodes the payload of a frame.
	 * @param payload the payload without its length prefix
	 * @return the message
	 * @throws IOException if the payload is not a valid message of a known type
	 */
	public static Message decode(byte[] payload) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
			return Message.decode(unpacker);
		}
		catch (MessagePackException ex) {
			throw new MalformedMessageException("invalid MessagePack: " + ex);
		}
	}

	static void checkSize(int tag, int size, int expected) throws IOException {
		if (size < expected) {
			throw new MalformedMessageException(
					"message " + tag + " has " + size + " elements, expected at least " + expected);
		}
	}

	static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
		int length = unpacker.unpackBinaryHeader();
		if (length > MAXIMUM_BYTES) {
			throw new MalformedMessageException(
					"binary field of " + length + " bytes, expected at most " + MAXIMUM_BYTES);
		}
		return unpacker.readPayload(length);
	}

	static void packCounts(MessagePacker packer, Map<String, Long> counts) throws IOException {
		packer.packMapHeader(counts.size());
		for (Map.Entry<String, Long> count : counts.entrySet()) {
			packer.packString(count.getKey());
			packer.packLong(count.getValue());
		}
	}

	static Map<String, Long> readCounts(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackMapHeader();
		Map<String, Long> counts = new HashMap<>();
		for (int index = 0; index < size; index++) {
			counts.put(unpacker.unpackString(), unpacker.unpackLong());
		}
		return counts;
	}

}
