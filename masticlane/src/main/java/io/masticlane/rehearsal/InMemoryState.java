package io.masticlane.rehearsal;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import io.masticlane.store.SharedState;

/**
 * An in-memory store whose leases never expire.
 */
final class InMemoryState implements SharedState {

	private final TreeMap<String, VersionedItem> items = new TreeMap<>();

	private long position;

	private long leases;

	synchronized void put(List<Item> updates) {
		updates.forEach((item) -> this.items.put(item.key(), new VersionedItem(item, ++this.position)));
	}

	@Override
	public Session session() {
		return new Session(0, OptionalLong.empty(), "");
	}

	@Override
	public synchronized CompletableFuture<Page> page(String prefix, String after) {
		List<Item> found = this.items.tailMap(after, false)
			.values()
			.stream()
			.map(VersionedItem::item)
			.filter((item) -> item.key().startsWith(prefix))
			.toList();
		return CompletableFuture.completedFuture(new Page(found, false, this.position));
	}

	@Override
	public synchronized CompletableFuture<Changes> changes(String prefix, long after, long waitMillis) {
		List<Item> changed = this.items.values()
			.stream()
			.filter((versioned) -> versioned.position() > after && versioned.item().key().startsWith(prefix))
			.map(VersionedItem::item)
			.toList();
		return CompletableFuture.completedFuture(new Changes(changed, this.position));
	}

	@Override
	public CompletableFuture<Boolean> put(String key, byte[] value, long lease) {
		put(List.of(new Item(key, Optional.of(value))));
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public synchronized CompletableFuture<Long> grantLease(long seconds) {
		return CompletableFuture.completedFuture(++this.leases);
	}

	@Override
	public CompletableFuture<Boolean> renewLease(long lease) {
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public CompletableFuture<Void> revokeLease(long lease) {
		return CompletableFuture.completedFuture(null);
	}

	private record VersionedItem(Item item, long position) {
	}

}
