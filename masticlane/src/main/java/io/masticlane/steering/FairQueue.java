package io.masticlane.steering;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A queue with a bounded line for each organisation. It serves the organisation first
 * that was served least in the last second or so, whatever others ask for.
 *
 * @param <T> the type of the entries
 */
final class FairQueue<T> {

	private static final double LEAST_USAGE = 0.1;

	private static final double DOMINANCE = 2;

	private final int capacity;

	private final Map<String, Deque<T>> lines = new HashMap<>();

	private final Deque<String> turns = new ArrayDeque<>();

	private final Map<String, Usage> usages = new HashMap<>();

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
	void requeueFirst(String organisation, T entry) {
		line(organisation).addFirst(entry);
	}

	/**
	 * Offers the head of each organisation's line in turn until one is accepted, and
	 * removes that one.
	 * @param acceptor tells whether it accepts an entry
	 * @param now the present in nanoseconds
	 * @return whether an entry was accepted
	 */
	boolean serveNext(Predicate<T> acceptor, long now) {
		Optional<String> served = this.turns.stream()
			.sorted(Comparator.comparingDouble((String organisation) -> usage(organisation).level(now)))
			.filter((organisation) -> acceptor.test(this.lines.get(organisation).peekFirst()))
			.findFirst();
		served.ifPresent((organisation) -> advance(organisation, now));
		return served.isPresent();
	}

	/**
	 * Returns the organisation that was served more lately than twice the average of the
	 * others.
	 * @param now the present in nanoseconds
	 * @return the name of the organisation, or an empty text if there is none
	 */
	String dominantOrganisation(long now) {
		DoubleSummaryStatistics levels = this.usages.values()
			.stream()
			.mapToDouble((usage) -> usage.level(now))
			.filter((level) -> level > LEAST_USAGE)
			.summaryStatistics();
		double others = (levels.getSum() - levels.getMax()) / (levels.getCount() - 1);
		return (levels.getCount() < 2 || levels.getMax() <= DOMINANCE * others) ? ""
				: this.usages.entrySet()
					.stream()
					.max(Comparator.comparingDouble((entry) -> entry.getValue().level(now)))
					.map(Map.Entry::getKey)
					.orElse("");
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

	private Usage usage(String organisation) {
		return this.usages.computeIfAbsent(organisation, (name) -> new Usage());
	}

	private void advance(String organisation, long now) {
		usage(organisation).add(now);
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

	/**
	 * The number of entries served lately, which decays exponentially.
	 */
	private static final class Usage {

		private static final double DECAY_NANOS = 1e9;

		private double level;

		private long updated;

		private double level(long now) {
			return this.level * Math.exp((this.updated - now) / DECAY_NANOS);
		}

		private void add(long now) {
			this.level = level(now) + 1;
			this.updated = now;
		}

	}

}
