package io.masticlane.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A store whose changes can be followed from a position on. A call without an answer
 * fails with a {@link StoreException}, one from a forgotten position with a
 * {@link HistoryLostException}.
 */
public interface SharedState extends Leases {

	/**
	 * Reads the items behind a key, in the order of their keys.
	 * @param prefix the prefix of the keys
	 * @param after the key of the last item that was read, or an empty text
	 * @return the items
	 */
	CompletableFuture<Page> page(String prefix, String after);

	/**
	 * Waits for changes.
	 * @param prefix the prefix of the keys
	 * @param position the position up to which all changes are known
	 * @param waitMillis the longest time to wait, in milliseconds
	 * @return the changes, or none when the time is over
	 */
	CompletableFuture<Changes> changes(String prefix, long position, long waitMillis);

	/**
	 * Writes a key whatever it held.
	 * @param key the key
	 * @param value the new value
	 * @param lease the lease that the key lives by
	 * @return whether the lease still lives, without which nothing is written
	 */
	CompletableFuture<Boolean> put(String key, byte[] value, long lease);

	/**
	 * Some items of the store.
	 *
	 * @param items the items
	 * @param more whether more items follow
	 * @param position the position of the store when it read them
	 */
	record Page(List<Item> items, boolean more, long position) {

		public Page {
			items = List.copyOf(items);
		}

	}

	/**
	 * Some changes of the store.
	 *
	 * @param items the items as written, without a value if they were deleted
	 * @param position the position up to which all changes are known
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
	 * Tells that the store forgot the changes after a position.
	 */
	class HistoryLostException extends StoreException {

		/**
		 * Creates a new exception.
		 * @param position the position
		 */
		public HistoryLostException(long position) {
			super("the store forgot the changes after position " + position, null);
		}

	}

}
