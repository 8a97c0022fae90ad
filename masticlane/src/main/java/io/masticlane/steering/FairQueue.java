package io.masticlane.steering;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A queue with a bounded line for each organisation, which serves the organisations in
 * turn.
 *
 * @param <T> the type of the entries
 */
final class FairQueue<T> {

	private final int capacity;

	private final Map<String, Deque<T>> lines = new HashMap<>();

	private final Deque<String> turns = new ArrayDeque<>();

	/**
	 * Creates a new empty queue.
	 * @param capacity the entries that each organisation's line holds at most
	 */
	FairQueue(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds an entry at the end of its organisation's line.
	 * @param organisation the name of the organisation
	 * @param entry the entry
	 * @return whether the line had room
	 */
	boolean offer(String organisation, T entry) {
		Deque<T> line = line(organisation);
		return line.size() < this.capacity && line.offerLast(entry);
	}

	/**
	 * Puts an entry back at the head of its organisation's line, whatever the line holds.
	 * @param organisation the name of the organisation
	 * @param entry the entry
	 */
	void putBack(String organisation, T entry) {
		line(organisation).addFirst(entry);
	}

	/**
	 * Offers the head of each organisation's line in turn until one is accepted, and
	 * removes that one; its organisation's next turn comes after those of all others.
	 * @param acceptor tells whether it accepts an entry
	 * @return whether an entry was accepted
	 */
	boolean serve(Predicate<T> acceptor) {
		Optional<String> served = this.turns.stream()
			.filter((organisation) -> acceptor.test(this.lines.get(organisation).peekFirst()))
			.findFirst();
		served.ifPresent(this::advance);
		return served.isPresent();
	}

	/**
	 * Removes all entries that a condition holds for.
	 * @param condition the condition
	 * @return the removed entries
	 */
	List<T> removeIf(Predicate<T> condition) {
		List<T> removed = this.lines.values().stream().flatMap(Deque::stream).filter(condition).toList();
		if (!removed.isEmpty()) {
			this.lines.values().forEach((line) -> line.removeIf(condition));
			this.lines.values().removeIf(Deque::isEmpty);
			this.turns.removeIf((organisation) -> !this.lines.containsKey(organisation));
		}
		return removed;
	}

	/**
	 * Returns the number of entries.
	 * @return the number of entries
	 */
	int size() {
		return this.lines.values().stream().mapToInt(Deque::size).sum();
	}

	private void advance(String organisation) {
		this.turns.remove(organisation);
		Deque<T> line = this.lines.get(organisation);
		line.removeFirst();
		if (line.isEmpty()) {
			this.lines.remove(organisation);
		}
		else {
			this.turns.addLast(organisation);
		}
	}

	private Deque<T> line(String organisation) {
		return this.lines.computeIfAbsent(organisation, (name) -> {
			this.turns.addLast(name);
			return new ArrayDeque<>();
		});
	}

}
