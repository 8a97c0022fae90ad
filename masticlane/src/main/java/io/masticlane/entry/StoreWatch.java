package io.masticlane.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.store.Store;

/**
 * Hears the configuration from the store: by a watch, and by a slow poll of the key's
 * revision, which shows whether the store answers and whether the watch went silent.
 */
final class StoreWatch {

	private final Store store;

	private final String key;

	private final Supplier<WatchRole> role;

	private final LongSupplier settled;

	private final Listener listener;

	private final EventLog events;

	private boolean heard = true;

	private boolean waiting;

	private long nextPoll = System.nanoTime();

	private long polledFor;

	private Store.Watch watch;

	private long watched;

	private long missed;

	private long reverted;

	/**
	 * Creates a new watch.
	 * @param store the store
	 * @param key the key of the configuration
	 * @param role the part that this entry host has in watching
	 * @param settled the revision that is in force or was rejected
	 * @param listener receives what is heard
	 * @param events the log of events
	 */
	StoreWatch(Store store, String key, Supplier<WatchRole> role, LongSupplier settled, Listener listener,
			EventLog events) {
		this.store = store;
		this.key = key;
		this.role = role;
		this.settled = settled;
		this.listener = listener;
		this.events = events;
	}

	synchronized void tick() {
		WatchRole current = this.role.get();
		if (!current.watches()) {
			closeWatch();
		}
		long now = System.nanoTime();
		if (this.settled.getAsLong() != this.polledFor) {
			this.polledFor = this.settled.getAsLong();
			this.nextPoll = now;
		}
		if (this.waiting || !current.polls() || now - this.nextPoll < 0) {
			return;
		}
		this.waiting = true;
		this.nextPoll = now + TimeUnit.MILLISECONDS.toNanos(current.pollMillis());
		this.store.revision(this.key).whenComplete((revision, failure) -> answered(revision, failure, now));
	}

	synchronized void close() {
		closeWatch();
	}

	private synchronized void answered(Long revision, Throwable failure, long askedAt) {
		this.waiting = false;
		noteContact(failure);
		if (failure != null) {
			return;
		}
		boolean newer = revision > this.settled.getAsLong();
		this.listener.answered(askedAt, newer);
		noteReverted(revision);
		replaceSilentWatch(revision);
		if (newer) {
			long readAt = System.nanoTime();
			this.store.read(this.key)
				.thenAccept((entry) -> entry.ifPresent((found) -> this.listener.read(found, readAt)));
		}
	}

	private void noteContact(Throwable failure) {
		boolean success = failure == null;
		if (success != this.heard) {
			this.heard = success;
			if (success) {
				this.events.record(Event.STORE_HEARD);
			}
			else {
				this.events.record(Event.STORE_LOST, failure.getMessage());
			}
		}
	}

	private void noteReverted(long revision) {
		long settledRevision = this.settled.getAsLong();
		if (revision >= settledRevision) {
			this.reverted = -1;
		}
		else if (revision != this.reverted) {
			this.reverted = revision;
			this.events.record(Event.STORE_REVERTED, revision, settledRevision);
		}
	}

	/**
	 * Opens the watch, and replaces it if it has not told within a whole interval what
	 * the poll found.
	 * @param revision the revision that the poll found
	 */
	private void replaceSilentWatch(long revision) {
		if (this.watch != null && this.missed > this.watched) {
			this.events.record(Event.STORE_WATCH_SILENT, this.missed);
			closeWatch();
		}
		if (this.watch == null) {
			if (this.role.get().watches()) {
				openWatch(revision);
			}
		}
		else {
			this.missed = revision;
		}
	}

	private void openWatch(long revision) {
		this.watched = revision;
		this.missed = revision;
		WatchedKey opened = new WatchedKey();
		opened.self = this.store.watch(this.key, opened);
		this.watch = opened.over ? null : opened.self;
	}

	private void closeWatch() {
		if (this.watch != null) {
			this.watch.close();
			this.watch = null;
		}
	}

	/**
	 * Receives what one watch tells.
	 */
	private final class WatchedKey implements Store.WatchListener {

		private Store.Watch self;

		private boolean over;

		@Override
		public void written(Store.Entry entry) {
			synchronized (StoreWatch.this) {
				StoreWatch.this.watched = Math.max(StoreWatch.this.watched, entry.revision());
			}
			StoreWatch.this.listener.written(entry);
		}

		@Override
		public void ended(String reason) {
			synchronized (StoreWatch.this) {
				this.over = true;
				if (StoreWatch.this.watch == this.self) {
					StoreWatch.this.watch = null;
				}
			}
		}

	}

	/**
	 * Receives what the store tells.
	 */
	interface Listener {

		/**
		 * Receives the fact that the store answered.
		 * @param askedAt the time of the question in nanoseconds
		 * @param newer whether it has a revision that is not in force yet
		 */
		void answered(long askedAt, boolean newer);

		/**
		 * Receives the configuration that was read.
		 * @param entry the entry of the configuration
		 * @param askedAt the time of the question in nanoseconds
		 */
		void read(Store.Entry entry, long askedAt);

		/**
		 * Receives a configuration that was written.
		 * @param entry the entry of the configuration
		 */
		void written(Store.Entry entry);

	}

}
