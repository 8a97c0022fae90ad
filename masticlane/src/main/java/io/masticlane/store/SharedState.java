package io.masticlane.store;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A key-value store whose changes can be followed from a position. A call without a valid
 * response fails with a {@link StoreException}, and a call for changes after a position
 * whose history was discarded with a {@link HistoryLostException}.
 */
public interface SharedState extends Leases {

	/**
	 * Returns the current session. A position of an earlier session says nothing about
	 * the current state of the store, which may have been restored in between.
	 * @return the session
	 */
	Session session();

	/**
	 * Reads a page of the items whose keys follow a key, in the order of their keys.
	 * @param prefix the prefix of the keys
	 * @param after the key of the last item that was read, or an empty string
	 * @return the page
	 */
	CompletableFuture<Page> page(String prefix, String after);

	/**
	 * Waits for changes after a position.
	 * @param prefix the prefix of the keys
	 * @param position the position up to which the caller has received all changes
	 * @param waitMillis the maximum time to wait in milliseconds
	 * @return the changes, which are empty after the maximum time
	 */
	CompletableFuture<Changes> changes(String prefix, long position, long waitMillis);

	/**
	 * Writes a key unconditionally.
	 * @param key the key
	 * @param value the new value
	 * @param lease the lease that the key is attached to
	 * @return whether the key was written; {@code false} if the lease had expired
	 */
	CompletableFuture<Boolean> put(String key, byte[] value, long lease);

	/**
	 * A period in which no call was interrupted.
	 *
	 * @param number the number of the session, which increases
	 * @param era the era of the store, which increases whenever it is restored, or empty
	 * if it states none
	 * @param beginning what began the session, empty for the first one
	 */
	record Session(long number, OptionalLong era, String beginning) {
	}

	/**
	 * A page of the items of the store.
	 *
	 * @param items the items
	 * @param more whether items follow after this page
	 * @param position the position of the store when it read the items
	 */
	record Page(List<Item> items, boolean more, long position) {

		public Page {
			items = List.copyOf(items);
		}

	}

	/**
	 * Changes of the store.
	 *
	 * @param items the items as written, without a value if deleted
	 * @param position the position up to which the changes are complete
	 */
	record Changes(List<Item> items, long position) {

		public Changes {
			items = List.copyOf(items);
		}

	}

	/**
	 * An item of the store.
	 *
	 * @param key the key
	 * @param value the value, or nothing if the key was deleted
	 */
	record Item(String key, Optional<byte[]> value) {
	}

	/**
	 * Thrown when the store no longer keeps the changes after a position.
	 */
	class HistoryLostException extends StoreException {

		/**
		 * Creates a new exception.
		 * @param position the position
		 */
		public HistoryLostException(long position) {
			super("the store no longer keeps the changes after position " + position, null);
		}

	}

}
