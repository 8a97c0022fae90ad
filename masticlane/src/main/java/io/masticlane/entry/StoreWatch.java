package io.masticlane.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.store.Store;

/**
 * Receives the configuration from the store through a watch. A slow poll of the key's
 * revision detects an unreachable store and a watch that no longer delivers changes.
 */
final class StoreWatch {

	private final Store store;

	private final String key;

	private final Supplier<WatchRole> role;

	private final LongSupplier processedRevision;

	private final Listener listener;

	private final EventLog events;

	private boolean storeReachable = true;

	private boolean polling;

	private long nextPoll = System.nanoTime();

	private long processedAtLastPoll;

	private Store.Watch watch;

	private long lastWatchedRevision;

	private long lastPolledRevision;

	private long reportedRevert;

	/**
	 * Creates a new watch.
	 * @param store the store
	 * @param key the key of the configuration
	 * @param role the role of this entry host in watching the store
	 * @param processedRevision the highest revision that is in force or was rejected
	 * @param listener the receiver of responses and configurations
	 * @param events the log of events
	 */
	StoreWatch(Store store, String key, Supplier<WatchRole> role, LongSupplier processedRevision, Listener listener,
			EventLog events) {
		this.store = store;
		this.key = key;
		this.role = role;
		this.processedRevision = processedRevision;
		this.listener = listener;
		this.events = events;
	}

	synchronized void tick() {
		WatchRole current = this.role.get();
		if (!current.isWatching()) {
			closeWatch();
		}
		long now = System.nanoTime();
		if (this.processedRevision.getAsLong() != this.processedAtLastPoll) {
			this.processedAtLastPoll = this.processedRevision.getAsLong();
			this.nextPoll = now;
		}
		if (this.polling || !current.isPolling() || now - this.nextPoll < 0) {
			return;
		}
		this.polling = true;
		this.nextPoll = now + TimeUnit.MILLISECONDS.toNanos(current.pollMillis());
		this.store.revision(this.key).whenComplete((revision, failure) -> pollCompleted(revision, failure, now));
	}

	synchronized void close() {
		closeWatch();
	}

	private synchronized void pollCompleted(Long revision, Throwable failure, long requestedAt) {
		this.polling = false;
		recordReachability(failure);
		if (failure != null) {
			return;
		}
		boolean newRevision = revision > this.processedRevision.getAsLong();
		this.listener.storeResponded(requestedAt, newRevision);
		recordRevert(revision);
		openOrReplaceWatch(revision);
		if (newRevision) {
			long readAt = System.nanoTime();
			this.store.read(this.key)
				.thenAccept((entry) -> entry.ifPresent((found) -> this.listener.configurationRead(found, readAt)));
		}
	}

	private void recordReachability(Throwable failure) {
		boolean success = failure == null;
		if (success != this.storeReachable) {
			this.storeReachable = success;
			if (success) {
				this.events.record(Event.STORE_HEARD);
			}
			else {
				this.events.record(Event.STORE_LOST, failure.getMessage());
			}
		}
	}

	private void recordRevert(long revision) {
		long processed = this.processedRevision.getAsLong();
		if (revision >= processed) {
			this.reportedRevert = -1;
		}
		else if (revision != this.reportedRevert) {
			this.reportedRevert = revision;
			this.events.record(Event.STORE_REVERTED, revision, processed);
		}
	}

	/**
	 * Opens the watch, or replaces it if it has not delivered, within a whole poll
	 * interval, the revision that the previous poll found.
	 * @param revision the revision that the poll found
	 */
	private void openOrReplaceWatch(long revision) {
		if (this.watch != null && this.lastPolledRevision > this.lastWatchedRevision) {
			this.events.record(Event.STORE_WATCH_SILENT, this.lastPolledRevision);
			closeWatch();
		}
		if (this.watch == null) {
			if (this.role.get().isWatching()) {
				openWatch(revision);
			}
		}
		else {
			this.lastPolledRevision = revision;
		}
	}

	private void openWatch(long revision) {
		this.lastWatchedRevision = revision;
		this.lastPolledRevision = revision;
		KeyWatchListener opened = new KeyWatchListener();
		opened.self = this.store.watch(this.key, opened);
		this.watch = opened.closed ? null : opened.self;
	}

	private void closeWatch() {
		if (this.watch != null) {
			this.watch.close();
			this.watch = null;
		}
	}

	/**
	 * Receives the changes that one watch delivers.
	 */
	private final class KeyWatchListener implements Store.WatchListener {

		private Store.Watch self;

		private boolean closed;

		@Override
		public void keyWritten(Store.Entry entry) {
			synchronized (StoreWatch.this) {
				StoreWatch.this.lastWatchedRevision = Math.max(StoreWatch.this.lastWatchedRevision, entry.revision());
			}
			StoreWatch.this.listener.configurationWritten(entry);
		}

		@Override
		public void watchEnded(String reason) {
			synchronized (StoreWatch.this) {
				this.closed = true;
				if (StoreWatch.this.watch == this.self) {
					StoreWatch.this.watch = null;
				}
			}
		}

	}

	/**
	 * Receives responses and configurations from the store.
	 */
	interface Listener {

		/**
		 * Called when the store has responded to a poll.
		 * @param requestedAt the time of the request in nanoseconds
		 * @param newRevision whether the store has a revision that was not processed yet
		 */
		void storeResponded(long requestedAt, boolean newRevision);

		/**
		 * Called when the configuration has been read.
		 * @param entry the entry of the configuration
		 * @param requestedAt the time of the request in nanoseconds
		 */
		void configurationRead(Store.Entry entry, long requestedAt);

		/**
		 * Called when the watch has delivered a written configuration.
		 * @param entry the entry of the configuration
		 */
		void configurationWritten(Store.Entry entry);

	}

}
