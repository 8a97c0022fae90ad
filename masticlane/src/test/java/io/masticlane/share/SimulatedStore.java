package io.masticlane.share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.masticlane.store.Store;
import io.masticlane.store.StoreException;

/**
 * A store in simulated time whose calls may take effect after a delay or without a
 * response.
 */
final class SimulatedStore {

	private final Map<String, StoredEntry> entries = new HashMap<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private long lastRevision;

	private long lastLease;

	private long now;

	void advance(long now) {
		this.now = now;
		this.leases.values().removeIf((lease) -> lease.until() - now <= 0);
		this.entries.values().removeIf((entry) -> !this.leases.containsKey(entry.lease()));
	}

	Store client(Link link) {
		return new Client(link);
	}

	/**
	 * Transmits calls and their responses.
	 */
	interface Link {

		<T> void transmit(Supplier<T> call, CompletableFuture<T> response);

	}

	private record StoredEntry(Store.Entry entry, long lease) {
	}

	private record Lease(long nanos, long until) {
	}

	private final class Client implements Store {

		private final Link link;

		private Client(Link link) {
			this.link = link;
		}

		private <T> CompletableFuture<T> call(Supplier<T> call) {
			CompletableFuture<T> response = new CompletableFuture<>();
			this.link.transmit(call, response);
			return response;
		}

		@Override
		public CompletableFuture<Optional<Entry>> read(String key) {
			return call(() -> Optional.ofNullable(SimulatedStore.this.entries.get(key)).map(StoredEntry::entry));
		}

		@Override
		public CompletableFuture<Long> revision(String key) {
			return read(key).thenApply((entry) -> entry.map(Entry::revision).orElse(ABSENT));
		}

		@Override
		public Watch watch(String key, WatchListener listener) {
			throw new UnsupportedOperationException("shares are not watched");
		}

		@Override
		public CompletableFuture<List<Entry>> list(String prefix) {
			return call(() -> SimulatedStore.this.entries.values()
				.stream()
				.map(StoredEntry::entry)
				.filter((entry) -> entry.key().startsWith(prefix))
				.toList());
		}

		@Override
		public CompletableFuture<WriteResult> compareAndSet(String key, long expected, byte[] value, long lease) {
			return call(() -> {
				SimulatedStore store = SimulatedStore.this;
				if (!store.leases.containsKey(lease)) {
					throw new StoreException("the lease is not known", null);
				}
				if (store.entries.containsKey(key)) {
					return new WriteResult(false, store.entries.get(key).entry().revision());
				}
				store.entries.put(key, new StoredEntry(new Entry(key, ++store.lastRevision, value), lease));
				return new WriteResult(true, store.lastRevision);
			});
		}

		@Override
		public CompletableFuture<Boolean> compareAndDelete(String key, long revision) {
			return call(() -> SimulatedStore.this.entries.values()
				.removeIf((stored) -> stored.entry().key().equals(key) && stored.entry().revision() == revision));
		}

		@Override
		public CompletableFuture<Long> grantLease(long seconds) {
			return call(() -> {
				SimulatedStore store = SimulatedStore.this;
				long nanos = TimeUnit.SECONDS.toNanos(seconds);
				store.leases.put(++store.lastLease, new Lease(nanos, store.now + nanos));
				return store.lastLease;
			});
		}

		@Override
		public CompletableFuture<Boolean> renewLease(long lease) {
			return call(() -> SimulatedStore.this.leases.computeIfPresent(lease,
					(id, current) -> new Lease(current.nanos(), SimulatedStore.this.now + current.nanos())) != null);
		}

		@Override
		public CompletableFuture<Void> revokeLease(long lease) {
			return call(() -> {
				SimulatedStore.this.leases.remove(lease);
				return null;
			});
		}

	}

}
