package io.masticlane.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.masticlane.store.SharedState;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Follows the store: reads all items once, then the changes in batches. All items are
 * read again when the store no longer holds the changes in between, and when it may have
 * been restored from an earlier state: it then gives out positions again, and a change at
 * a position that was read before would be missed. Changes that a relay has read replace
 * own reads while they arrive without a gap.
 */
final class StoreFollower {

	private static final String ALL_KEYS = "";

	private final EventLoop loop;

	private final SharedState store;

	private final Listener listener;

	private final long pauseMillis;

	private Consumer<Batch> forwarder = (batch) -> {
	};

	private BooleanSupplier forwarding = () -> false;

	private ScheduledFuture<?> nextRead;

	private long position = -1;

	private long lastResponseAt;

	private SharedState.Session session;

	private SnapshotReason snapshotReason = SnapshotReason.START;

	private boolean snapshotDue = true;

	private boolean lost;

	private boolean stopped;

	/**
	 * Creates a follower.
	 * @param loop the event loop
	 * @param store the store
	 * @param listener receives the items
	 * @param pauseMillis the pause between reads of the changes in milliseconds
	 */
	StoreFollower(EventLoop loop, SharedState store, Listener listener, long pauseMillis) {
		this.loop = loop;
		this.store = store;
		this.listener = listener;
		this.pauseMillis = pauseMillis;
		this.session = store.session();
		this.lastResponseAt = System.nanoTime();
	}

	/**
	 * Sets the receiver of the changes that this follower reads itself.
	 * @param receiver receives each batch after it was delivered
	 * @param active whether others rely on the batches at present
	 */
	void forwardTo(Consumer<Batch> receiver, BooleanSupplier active) {
		this.forwarder = receiver;
		this.forwarding = active;
	}

	void start() {
		read();
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Applies changes that a relay has read, unless they leave a gap or are known, or all
	 * items have to be read. A batch that overlaps with known changes is applied whole:
	 * it ends with the newest value of each of its keys.
	 * @param batch the changes
	 * @return whether the changes were applied
	 */
	boolean apply(Batch batch) {
		if (this.stopped || this.snapshotDue || isInterrupted() || batch.after() > this.position
				|| batch.position() < this.position) {
			return false;
		}
		this.lastResponseAt = System.nanoTime();
		if (this.lost || batch.recovered()) {
			this.lost = false;
			this.listener.storeRecovered();
		}
		this.position = batch.position();
		batch.items().forEach(this::deliver);
		schedule(this.pauseMillis + GatewayTimes.RELAYED_CHANGES_MARGIN_MILLIS, this::read);
		return true;
	}

	/**
	 * Returns the position up to which all changes were received.
	 * @return the position, or -1
	 */
	long position() {
		return this.position;
	}

	/**
	 * Returns the time since the last response of the store.
	 * @return the time in milliseconds
	 */
	long ageMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.lastResponseAt);
	}

	/**
	 * Returns for how long a response of the store has been overdue, that is, has taken
	 * longer than a pause and a read.
	 * @return the time in milliseconds, negative if no response is overdue
	 */
	long overdueMillis() {
		return ageMillis() - this.pauseMillis - GatewayTimes.LONG_POLL_MILLIS - GatewayTimes.STORE_LOST_MARGIN_MILLIS;
	}

	private boolean isInterrupted() {
		return this.store.session().number() != this.session.number();
	}

	private void read() {
		if (!this.snapshotDue && isInterrupted()) {
			requireSnapshot(SnapshotReason.INTERRUPTED);
		}
		if (this.snapshotDue) {
			readPage(new SnapshotRead(this.store.session(), System.nanoTime(), new ArrayList<>()), ALL_KEYS, -1);
		}
		else {
			readChanges();
		}
	}

	private boolean isLaterEra(SharedState.Session current) {
		return this.session.era().isPresent() && !current.era().equals(this.session.era());
	}

	private void requireSnapshot(SnapshotReason reason) {
		this.snapshotDue = true;
		this.snapshotReason = reason;
	}

	private void readPage(SnapshotRead started, String after, long firstPagePosition) {
		onSuccess(this.store.page(ALL_KEYS, after), (page) -> {
			started.items().addAll(page.items());
			long snapshotPosition = (firstPagePosition < 0) ? page.position() : firstPagePosition;
			if (page.more() && !page.items().isEmpty()) {
				readPage(started, page.items().get(page.items().size() - 1).key(), snapshotPosition);
				return;
			}
			try {
				this.listener.itemsReplaced(new Snapshot(started.items(), started.at(), snapshotPosition, this.position,
						snapshotPosition < this.position || isLaterEra(started.session()), this.snapshotReason,
						started.session().beginning()));
			}
			catch (RuntimeException ex) {
				this.listener.itemFailed("all items", ex);
				schedule(GatewayTimes.RETRY_PAUSE_MILLIS, this::read);
				return;
			}
			this.session = started.session();
			this.position = snapshotPosition;
			this.snapshotDue = false;
			readChanges();
		});
	}

	private void readChanges() {
		long after = this.position;
		boolean wasLost = this.lost;
		long waitMillis = this.forwarding.getAsBoolean() ? GatewayTimes.RELAY_LONG_POLL_MILLIS
				: GatewayTimes.LONG_POLL_MILLIS;
		onSuccess(this.store.changes(ALL_KEYS, after, waitMillis), (changes) -> {
			if (changes.position() < after) {
				this.listener.positionReverted(changes.position(), after);
				requireSnapshot(SnapshotReason.REVERTED);
				schedule(GatewayTimes.RETRY_PAUSE_MILLIS, this::read);
				return;
			}
			if (changes.position() >= this.position) {
				this.position = changes.position();
				changes.items().forEach(this::deliver);
			}
			schedule(isLaterEra(this.store.session()) ? 0 : this.pauseMillis, this::read);
			if (!isInterrupted()) {
				this.forwarder.accept(new Batch(after, changes.position(), changes.items(), wasLost));
			}
		});
	}

	/**
	 * Delivers a change. A change that the listener fails to process must not end the
	 * loop that reads the next ones.
	 * @param item the changed item
	 */
	private void deliver(SharedState.Item item) {
		try {
			this.listener.itemChanged(item);
		}
		catch (RuntimeException ex) {
			this.listener.itemFailed(item.key(), ex);
		}
	}

	private <T> void onSuccess(CompletableFuture<T> call, Consumer<T> next) {
		call.whenComplete((response, failure) -> {
			if (this.stopped) {
				return;
			}
			if (failure == null) {
				succeeded();
				next.accept(response);
			}
			else {
				failed(failure);
			}
		});
	}

	private void succeeded() {
		this.listener.callCompleted(true);
		this.lastResponseAt = System.nanoTime();
		if (!isInterrupted()) {
			// The first response of a session may be the first that states the era.
			this.session = this.store.session();
		}
		if (this.lost) {
			this.lost = false;
			this.listener.storeRecovered();
		}
	}

	private void failed(Throwable failure) {
		this.listener.callCompleted(false);
		if (failure instanceof SharedState.HistoryLostException) {
			succeeded();
			requireSnapshot(SnapshotReason.HISTORY_DISCARDED);
		}
		else if (!this.lost && overdueMillis() > 0) {
			this.lost = true;
			this.listener.storeLost(String.valueOf(failure.getMessage()));
		}
		schedule(GatewayTimes.RETRY_PAUSE_MILLIS, this::read);
	}

	private void schedule(long millis, Runnable task) {
		if (this.nextRead != null) {
			this.nextRead.cancel(false);
		}
		this.nextRead = this.loop.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Why all items are read.
	 */
	enum SnapshotReason {

		/**
		 * Nothing was read before.
		 */
		START,

		/**
		 * The store no longer keeps the changes after the position.
		 */
		HISTORY_DISCARDED,

		/**
		 * The store may have been away, and restored, since the last read.
		 */
		INTERRUPTED,

		/**
		 * The store responded with a lower position than before.
		 */
		REVERTED

	}

	/**
	 * All items of the store.
	 *
	 * @param items the items
	 * @param startedAt when the first of them was read, in nanoseconds
	 * @param position the position up to which the changes are included
	 * @param formerPosition the position up to which changes were received before, or -1
	 * @param restored whether the store came back from an earlier state
	 * @param reason why the items were read
	 * @param detail what began the session in which the items were read, empty for the
	 * first one
	 */
	record Snapshot(List<SharedState.Item> items, long startedAt, long position, long formerPosition, boolean restored,
			SnapshotReason reason, String detail) {

		Snapshot {
			items = List.copyOf(items);
		}

	}

	/**
	 * A read of all items that has started.
	 *
	 * @param session the session in which it started
	 * @param at when it started, in nanoseconds
	 * @param items the items of the pages that were read
	 */
	private record SnapshotRead(SharedState.Session session, long at, List<SharedState.Item> items) {
	}

	/**
	 * Changes of the store.
	 *
	 * @param after the position after which the changes begin
	 * @param position the position up to which the changes are complete
	 * @param items the items as written, without a value if deleted
	 * @param recovered whether the store has just recovered for the reader
	 */
	record Batch(long after, long position, List<SharedState.Item> items, boolean recovered) {

		Batch {
			items = List.copyOf(items);
		}

	}

	/**
	 * Receives the items and the state of the store.
	 */
	interface Listener {

		/**
		 * Replaces all items.
		 * @param snapshot the items
		 */
		void itemsReplaced(Snapshot snapshot);

		/**
		 * Handles a response with a lower position than before.
		 * @param position the position of the response
		 * @param former the position before
		 */
		void positionReverted(long position, long former);

		/**
		 * Handles a change of an item.
		 * @param item the item as written
		 */
		void itemChanged(SharedState.Item item);

		/**
		 * Handles an item, or a snapshot of all items, that the listener failed to
		 * process.
		 * @param key the key of the item, or a description of the snapshot
		 * @param reason the failure
		 */
		void itemFailed(String key, RuntimeException reason);

		/**
		 * Handles the loss of the store, which stopped responding.
		 * @param reason the last failure
		 */
		void storeLost(String reason);

		/**
		 * Handles the recovery of the store, which responds again.
		 */
		void storeRecovered();

		/**
		 * Handles the end of a call.
		 * @param succeeded whether the store responded
		 */
		void callCompleted(boolean succeeded);

	}

}
