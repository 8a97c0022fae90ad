package io.masticlane.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.masticlane.message.MalformedMessageException;
import io.masticlane.message.Message;
import io.masticlane.registry.IpAddress;
import io.masticlane.registry.RegisteredServer;
import io.masticlane.store.SharedState;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

public class StoreRelayTests {

	private final StoreRelay relay = new StoreRelay(StoreRelayTests::key, StoreRelayTests::server, (id) -> {
	});

	/**
	 * Guards against a departure that is taken for an unchanged entry.
	 */
	@Test
	public void anEntryIsForwardedWholeWheneverMoreThanItsNumberChanged() throws MalformedMessageException {
		assertForwarded(List.of("s/a"), "", item("s/a", "ready 1"));
		assertForwarded(List.of(), "a", item("s/a", "ready 2"));
		assertForwarded(List.of("s/a"), "", item("s/a", "leaving 3"));
		assertForwarded(List.of("s/a"), "", new SharedState.Item("s/a", Optional.empty()));
		assertForwarded(List.of("s/a", "plan"), "", item("s/a", "leaving 4"), item("plan", "x"));
		assertForwarded(List.of("s/b"), "a", item("s/a", "leaving 5"), item("s/b", "broken"));
	}

	@Test
	public void changesThatExceedTheSizeOfAMessageAreLeftToTheReaders() {
		assertEquals(this.relay.encode(batch(item("plan", "x".repeat(2_000_000)))), Optional.empty());
	}

	@Test
	public void itemsThatCannotBeDecodedAreMalformed() {
		assertThrows(MalformedMessageException.class,
				() -> StoreRelay.decode(new Message.StoreChanges(1, 2, false, new byte[] { (byte) 0xc1 }, "")));
	}

	private void assertForwarded(List<String> keys, String confirmed, SharedState.Item... items)
			throws MalformedMessageException {
		Message.StoreChanges message = this.relay.encode(batch(items)).orElseThrow();
		assertEquals(StoreRelay.decode(message).items().stream().map(SharedState.Item::key).toList(), keys);
		assertEquals(message.confirmed(), confirmed);
	}

	private static StoreFollower.Batch batch(SharedState.Item... items) {
		return new StoreFollower.Batch(1, 2, List.of(items), false);
	}

	private static SharedState.Item item(String key, String value) {
		return new SharedState.Item(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
	}

	private static Dialect.StoreKey key(String key) {
		return key.startsWith("s/") ? new Dialect.StoreKey(Dialect.StoreKey.Kind.SERVER, key.substring(2))
				: new Dialect.StoreKey(Dialect.StoreKey.Kind.PLAN, "");
	}

	private static RegisteredServer server(String id, byte[] document) {
		String[] words = new String(document, StandardCharsets.UTF_8).split(" ");
		if (words.length < 2) {
			throw new IllegalArgumentException("broken");
		}
		return new RegisteredServer(id, "desk", IpAddress.of("127.0.0.1", 80), "dc", 1, words[0].equals("leaving"), 0,
				1, Long.parseLong(words[1]));
	}

}
