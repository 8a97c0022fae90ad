package io.masticlane.gateway;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The requests that arrived before the gateway had read its plan and its servers from the
 * store. Callers retry rarely, so a refusal would fail requests that can be served a
 * moment later, in particular after a restart of all gateways.
 */
final class StartupQueue {

	private final Queue<Runnable> waiting = new ArrayDeque<>();

	private final int capacity;

	private boolean open;

	/**
	 * Creates a queue.
	 * @param capacity the number of requests that may wait
	 */
	StartupQueue(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds a request.
	 * @param request continues the request, unless it has ended
	 * @return whether the request waits; if not, the gateway is ready or too many wait
	 */
	boolean offer(Runnable request) {
		return !this.open && this.waiting.size() < this.capacity && this.waiting.offer(request);
	}

	boolean isOpen() {
		return this.open;
	}

	/**
	 * Continues the waiting requests. No further ones wait.
	 */
	void open() {
		this.open = true;
		while (!this.waiting.isEmpty()) {
			this.waiting.poll().run();
		}
	}

}
