package io.masticlane.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store. A call without a valid response fails with a
 * {@link StoreException}.
 */
public interface Store extends Leases {

	/**
	 * The revision of a key that does not exist.
	 */
	long ABSENT = 0;

	/**
	 * The lease identifier of a key without a lease.
	 */
	long NO_LEASE = 0;

	/**
	 * Reads a key.
	 * @param key the key
	 * @return the entry, or nothing if the key does not exist
	 */
	CompletableFuture<Optional<Entry>> read(String key);

	/**
	 * Reads the revision of a key without its value.
	 * @param key the key
	 * @return the revision of the last write to the key, or {@link #ABSENT}
	 */
	CompletableFuture<Long> revision(String key);

	/**
	 * Watches the writes to a key from now on. A watch may stop delivering writes without
	 * ending, so the caller regularly compares {@link #revision(String)}.
	 * @param key the key
	 * @param listener receives the writes to the key
	 * @return the watch
	 */
	Watch watch(String key, WatchListener listener);

	/**
	 * Lists the entries of all keys with a prefix.
	 * @param prefix the prefix
	 * @return the entries
	 */
	CompletableFuture<List<Entry>> list(String prefix);

	/**
	 * Writes a key if it has an expected revision.
	 * @param key the key
	 * @param expectedRevision the expected revision, or {@link #ABSENT}
	 * @param value the new value
	 * @param lease the lease that the key is attached to, or {@link #NO_LEASE}
	 * @return the result of the write
	 */
	CompletableFuture<WriteResult> compareAndSet(String key, long expectedRevision, byte[] value, long lease);

	/**
	 * Deletes a key if it has an expected revision.
	 * @param key the key
	 * @param expectedRevision the expected revision
	 * @return whether the key was deleted
	 */
	CompletableFuture<Boolean> compareAndDelete(String key, long expectedRevision);

	/**
	 * An entry of the store.
	 *
	 * @param key the key
	 * @param revision the revision of the last write to the key
	 * @param value the value
	 */
	record Entry(String key, long revision, byte[] value) {
	}

	/**
	 * The result of a conditional write.
	 *
	 * @param succeeded whether the write took effect
	 * @param revision the revision of the write, or the current revision of the key if
	 * the write failed
	 */
	record WriteResult(boolean succeeded, long revision) {
	}

	/**
	 * A watch, which is open until it is closed or ends.
	 */
	interface Watch extends AutoCloseable {

		@Override
		void close();

	}

	/**
	 * Receives the writes to a watched key and the end of the watch.
	 */
	interface WatchListener {

		/**
		 * Receives a write to the key.
		 * @param entry the entry as written
		 */
		void keyWritten(Entry entry);

		/**
		 * Receives the end of the watch, unless it ended by {@link Watch#close()}.
		 * @param reason the reason of the end
		 */
		void watchEnded(String reason);

	}

}
