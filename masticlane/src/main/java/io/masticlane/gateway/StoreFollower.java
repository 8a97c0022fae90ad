package io.masticlane.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.masticlane.store.SharedState;
import io.netty.channel.EventLoop;

/**
 * Keeps up with the store: reads all items once, then the changes in batches, and all
 * items again when the store forgot the changes in between.
 */
final class StoreFollower {

	private static final String EVERYTHING = "";

	private final EventLoop loop;

	private final SharedState store;

	private final Listener listener;

	private long position = -1;

	private long answeredAt;

	private boolean lost;

	private boolean stopped;

	StoreFollower(EventLoop loop, SharedState store, Listener listener) {
		this.loop = loop;
		this.store = store;
		this.listener = listener;
		this.answeredAt = System.nanoTime();
	}

	void start() {
		readAll();
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Returns the position up to which all changes are known.
	 * @return the position, or -1
	 */
	long position() {
		return this.position;
	}

	/**
	 * Returns the time since the store last answered.
	 * @return the time in milliseconds
	 */
	long ageMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.answeredAt);
	}

	private void readAll() {
		readPage(EVERYTHING, new ArrayList<>(), -1);
	}

	private void readPage(String after, List<SharedState.Item> items, long firstPosition) {
		then(this.store.page(EVERYTHING, after), (page) -> {
			items.addAll(page.items());
			long from = (firstPosition < 0) ? page.position() : firstPosition;
			if (page.more() && !page.items().isEmpty()) {
				readPage(page.items().get(page.items().size() - 1).key(), items, from);
				return;
			}
			this.position = from;
			this.listener.itemsReplaced(items);
			follow();
		});
	}

	private void follow() {
		then(this.store.changes(EVERYTHING, this.position, GatewayTimes.LONG_POLL_MILLIS), (changes) -> {
			this.position = Math.max(this.position, changes.position());
			changes.items().forEach(this.listener::itemChanged);
			later(GatewayTimes.FOLLOW_PAUSE_MILLIS, this::follow);
		});
	}

	private <T> void then(CompletableFuture<T> call, Consumer<T> next) {
		call.whenComplete((answer, failure) -> {
			if (this.stopped) {
				return;
			}
			if (failure == null) {
				answered();
				next.accept(answer);
			}
			else {
				failed(failure);
			}
		});
	}

	private void answered() {
		this.listener.callCompleted(true);
		this.answeredAt = System.nanoTime();
		if (this.lost) {
			this.lost = false;
			this.listener.storeRecovered();
		}
	}

	private void failed(Throwable failure) {
		this.listener.callCompleted(false);
		if (failure instanceof SharedState.HistoryLostException) {
			answered();
			this.position = -1;
		}
		else if (!this.lost && ageMillis() > GatewayTimes.STORE_LOST_MILLIS) {
			this.lost = true;
			this.listener.storeLost(String.valueOf(failure.getMessage()));
		}
		later(GatewayTimes.RETRY_PAUSE_MILLIS, (this.position < 0) ? this::readAll : this::follow);
	}

	private void later(long millis, Runnable task) {
		this.loop.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Receives what the store tells.
	 */
	interface Listener {

		/**
		 * Receives all items.
		 * @param items the items
		 */
		void itemsReplaced(List<SharedState.Item> items);

		/**
		 * Receives a change.
		 * @param item the item as written
		 */
		void itemChanged(SharedState.Item item);

		/**
		 * Receives that the store stopped answering.
		 * @param reason the last failure
		 */
		void storeLost(String reason);

		/**
		 * Receives that the store answers again.
		 */
		void storeRecovered();

		/**
		 * Receives the end of a call.
		 * @param answered whether the store answered
		 */
		void callCompleted(boolean answered);

	}

}
