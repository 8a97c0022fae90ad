package io.masticlane.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The requests of a caller's connection in the order in which they arrived, from the
 * first one without a response.
 */
final class RequestSequence {

	/**
	 * The limit of pipelined requests that wait on a connection. Those beyond it are not
	 * run, and the connection is closed after the responses to the others.
	 */
	private static final int MAXIMUM_WAITING_REQUESTS = 16;

	private final Deque<CallerExchange> waiting = new ArrayDeque<>();

	private CallerExchange started;

	/**
	 * Whether requests beyond the limit were left out.
	 */
	private boolean overfull;

	/**
	 * Adds a request.
	 * @param exchange the exchange of the request
	 * @return whether there was room; if not, the request and later ones are left out
	 */
	boolean add(CallerExchange exchange) {
		this.overfull |= this.waiting.size() >= MAXIMUM_WAITING_REQUESTS;
		return !this.overfull && this.waiting.add(exchange);
	}

	/**
	 * Takes the next request to be started, if there is one.
	 * @return the exchange
	 */
	Optional<CallerExchange> startNext() {
		if (this.started != null) {
			return Optional.empty();
		}
		this.started = this.waiting.poll();
		return Optional.ofNullable(this.started);
	}

	/**
	 * Removes the started request.
	 * @return the exchange, or empty if none is started
	 */
	Optional<CallerExchange> removeStarted() {
		Optional<CallerExchange> removed = started();
		this.started = null;
		return removed;
	}

	Optional<CallerExchange> started() {
		return Optional.ofNullable(this.started);
	}

	/**
	 * Discards the requests that were not started.
	 */
	void discardWaiting() {
		this.waiting.forEach(CallerExchange::discard);
		this.waiting.clear();
	}

	boolean hasWaiting() {
		return !this.waiting.isEmpty();
	}

	boolean isEmpty() {
		return this.started == null && this.waiting.isEmpty();
	}

	boolean isOverfull() {
		return this.overfull;
	}

}
