package io.masticlane.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;

import io.masticlane.message.MalformedMessageException;
import io.masticlane.message.Message;
import io.masticlane.message.MessageFrame;
import io.masticlane.registry.RegisteredServer;
import io.masticlane.store.SharedState;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the changes that a relay read from the store. Backend servers write their
 * entries every 1.5 s, mostly unchanged: of such an entry only the identifier is
 * forwarded, which is a tenth of its bytes and needs no parsing.
 */
final class StoreRelay {

	private static final String SEPARATOR = " ";

	private final Function<String, Dialect.StoreKey> keys;

	private final BiFunction<String, byte[], RegisteredServer> servers;

	private final Consumer<String> confirmed;

	private final Map<String, RegisteredServer> forwarded = new HashMap<>();

	/**
	 * Creates a relay.
	 * @param keys classifies a key of the store
	 * @param servers parses the entry of a server, by its identifier
	 * @param confirmed receives the identifier of each server that wrote its entry again
	 * unchanged
	 */
	StoreRelay(Function<String, Dialect.StoreKey> keys, BiFunction<String, byte[], RegisteredServer> servers,
			Consumer<String> confirmed) {
		this.keys = keys;
		this.servers = servers;
		this.confirmed = confirmed;
	}

	/**
	 * Forgets what was forwarded, so that the next entries are forwarded whole.
	 */
	void reset() {
		this.forwarded.clear();
	}

	/**
	 * Encodes changes.
	 * @param batch the changes
	 * @return the message, or empty if it would exceed the size of a message; its
	 * receivers then read the store themselves
	 */
	Optional<Message.StoreChanges> encode(StoreFollower.Batch batch) {
		List<String> unchanged = new ArrayList<>();
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			for (SharedState.Item item : batch.items()) {
				Dialect.StoreKey key = this.keys.apply(item.key());
				if (key.kind() == Dialect.StoreKey.Kind.SERVER && isUnchanged(key.name(), item.value())) {
					unchanged.add(key.name());
					continue;
				}
				packer.packString(item.key());
				byte[] value = item.value().orElse(null);
				if (value == null) {
					packer.packNil();
				}
				else {
					packer.packBinaryHeader(value.length).writePayload(value);
				}
			}
			Message.StoreChanges message = new Message.StoreChanges(batch.after(), batch.position(), batch.recovered(),
					packer.toByteArray(), String.join(SEPARATOR, unchanged));
			if (MessageFrame.encode(message).length > MessageFrame.MAXIMUM_BYTES) {
				reset();
				return Optional.empty();
			}
			return Optional.of(message);
		}
		catch (IOException ex) {
			throw new IllegalStateException("unexpected I/O failure of a buffer packer", ex);
		}
	}

	/**
	 * Decodes the changes of a message, without the confirmed entries.
	 * @param message the message
	 * @return the changes
	 * @throws MalformedMessageException if the items cannot be decoded
	 */
	static StoreFollower.Batch decode(Message.StoreChanges message) throws MalformedMessageException {
		List<SharedState.Item> items = new ArrayList<>();
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message.items())) {
			while (unpacker.hasNext()) {
				String key = unpacker.unpackString();
				items.add(new SharedState.Item(key, unpacker.tryUnpackNil() ? Optional.empty()
						: Optional.of(unpacker.readPayload(unpacker.unpackBinaryHeader()))));
			}
		}
		catch (IOException | MessagePackException ex) {
			throw new MalformedMessageException("changes of the store: " + ex.getMessage());
		}
		return new StoreFollower.Batch(message.after(), message.position(), items, message.recovered());
	}

	/**
	 * Applies the confirmed entries of a message whose changes were applied.
	 * @param message the message
	 */
	void confirm(Message.StoreChanges message) {
		Arrays.stream(message.confirmed().split(SEPARATOR)).filter((id) -> !id.isEmpty()).forEach(this.confirmed);
	}

	private boolean isUnchanged(String id, Optional<byte[]> value) {
		Optional<RegisteredServer> current = value.flatMap((document) -> parse(id, document));
		RegisteredServer previous = current.isPresent() ? this.forwarded.put(id, current.get())
				: this.forwarded.remove(id);
		// A cold server's entry tells how long it remains cold, also if nothing else
		// changed.
		return current.isPresent() && current.get().coldMillis() == 0 && current.get().equals(previous);
	}

	private Optional<RegisteredServer> parse(String id, byte[] document) {
		try {
			return Optional.of(this.servers.apply(id, document).withSequence(0));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
