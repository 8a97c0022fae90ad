package io.masticlane.entry;

import java.util.Optional;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.platform.Store;

/**
 * Reads the configuration from the store again and again, and notes whether it answers.
 */
final class StoreWatch {

	private final Store store;

	private final String key;

	private final Listener listener;

	private final EventLog events;

	private boolean heard = true;

	private boolean waiting;

	StoreWatch(Store store, String key, Listener listener, EventLog events) {
		this.store = store;
		this.key = key;
		this.listener = listener;
		this.events = events;
	}

	synchronized void poll() {
		if (this.waiting) {
			return;
		}
		this.waiting = true;
		long askedAt = System.nanoTime();
		this.store.read(this.key).whenComplete((entry, failure) -> answered(entry, failure, askedAt));
	}

	private synchronized void answered(Optional<Store.Entry> entry, Throwable failure, long askedAt) {
		this.waiting = false;
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
		if (success) {
			this.listener.heard(entry, askedAt);
		}
	}

	/**
	 * Receives each answer of the store.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Receives an answer.
		 * @param entry the entry of the configuration, or nothing if there is none
		 * @param askedAt the time of the question in nanoseconds
		 */
		void heard(Optional<Store.Entry> entry, long askedAt);

	}

}
