package io.masticlane.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.masticlane.memory.MessageMemory;

/**
 * The requests of a caller's connection in the order in which they arrived, from the
 * first one whose response has not been handed to the connection. Decides when each is
 * started: idempotent requests run concurrently, while any other request waits for the
 * requests before it, and those behind it wait for it.
 */
final class RequestSequence {

	/**
	 * The limit of requests of a connection that are started and not answered. A server
	 * has four to nine slots, so that a single connection occupies at most the slots of
	 * about one server.
	 */
	static final int MAXIMUM_STARTED_REQUESTS = 8;

	/**
	 * The limit of requests that wait to be started. Those beyond it are not run, and the
	 * connection is closed after the responses to the others, so that a caller that sends
	 * thousands at once occupies no more memory than one that sends a few.
	 */
	static final int MAXIMUM_WAITING_REQUESTS = 16;

	/**
	 * The bytes of finished responses from which no further request is started until some
	 * have left: about three responses of 90 kB, which a link of 7 Mbit/s carries in 0.1
	 * s each. It also bounds what a caller occupies that never reads.
	 */
	static final long MAXIMUM_UNSENT_BYTES = 256 * 1024;

	/**
	 * The fraction of the memory for bodies from which a connection starts a request only
	 * if it occupies nothing else. The rest is left to callers that send one request at a
	 * time.
	 */
	private static final double MEMORY_FRACTION = 0.25;

	private final MessageMemory memory;

	private final Deque<CallerExchange> started = new ArrayDeque<>();

	private final Deque<CallerExchange> waiting = new ArrayDeque<>();

	private boolean overfull;

	private boolean ended;

	/**
	 * Creates an empty sequence.
	 * @param memory the memory of the bodies of all connections
	 */
	RequestSequence(MessageMemory memory) {
		this.memory = memory;
	}

	/**
	 * Adds a request, unless the connection ends with an earlier response.
	 * @param exchange the exchange of the request
	 * @return whether the request was added; if not, it and later ones are left out
	 */
	boolean add(CallerExchange exchange) {
		if (this.ended) {
			return false;
		}
		this.overfull = this.waiting.size() >= MAXIMUM_WAITING_REQUESTS;
		this.ended = this.overfull || !exchange.keepsAlive();
		return !this.overfull && this.waiting.add(exchange);
	}

	/**
	 * Takes the next request that is to be started now, if there is one.
	 * @param processor tells which requests are idempotent
	 * @param unsentBytes the bytes of finished responses that have not left
	 * @return the exchange
	 */
	Optional<CallerExchange> startNext(CallerHandler.Processor processor, long unsentBytes) {
		if (this.waiting.isEmpty() || !mayStart(this.waiting.peek(), processor, unsentBytes)) {
			return Optional.empty();
		}
		CallerExchange next = this.waiting.remove();
		this.started.add(next);
		return Optional.of(next);
	}

	/**
	 * Removes the first request if its response is complete.
	 * @return the exchange, whose response is to be sent next
	 */
	Optional<CallerExchange> removeAnswered() {
		return Optional.ofNullable(this.started.peek())
			.filter((first) -> first.response() != null)
			.map((first) -> this.started.remove());
	}

	/**
	 * Removes all requests behind one whose response ends the connection. Further ones
	 * are left out.
	 * @param last the last request that is answered
	 * @return the removed exchanges
	 */
	List<CallerExchange> removeBehind(CallerExchange last) {
		List<CallerExchange> removed = new ArrayList<>();
		while (!this.started.isEmpty() && this.started.peekLast() != last) {
			removed.add(0, this.started.removeLast());
		}
		removed.addAll(this.waiting);
		this.waiting.clear();
		this.ended = true;
		return removed;
	}

	/**
	 * Removes all requests. Further ones are left out.
	 * @return the removed exchanges
	 */
	List<CallerExchange> removeAll() {
		return removeBehind(null);
	}

	List<CallerExchange> started() {
		return List.copyOf(this.started);
	}

	boolean hasWaiting() {
		return !this.waiting.isEmpty();
	}

	boolean hasStarted() {
		return !this.started.isEmpty();
	}

	boolean isEmpty() {
		return this.started.isEmpty() && this.waiting.isEmpty();
	}

	/**
	 * Returns whether requests beyond the limit were left out.
	 * @return whether the caller sent too many at once
	 */
	boolean isOverfull() {
		return this.overfull;
	}

	/**
	 * Returns whether the connection ends with the response to the last request.
	 * @return whether further requests are left out
	 */
	boolean isEnded() {
		return this.ended;
	}

	private boolean mayStart(CallerExchange next, CallerHandler.Processor processor, long unsentBytes) {
		if (this.started.isEmpty() && unsentBytes == 0) {
			return true;
		}
		boolean room = unsentBytes < MAXIMUM_UNSENT_BYTES
				&& this.memory.usedBytes() < MEMORY_FRACTION * this.memory.limitBytes();
		boolean concurrent = this.started.size() < MAXIMUM_STARTED_REQUESTS
				&& (this.started.isEmpty() || this.started.peekLast().isIdempotent() && next.isIdempotent(processor));
		return room && concurrent;
	}

}
