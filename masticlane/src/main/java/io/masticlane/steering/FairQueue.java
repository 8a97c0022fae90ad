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
 * A queue with a bounded sub-queue for each organisation. The organisation with the
 * lowest usage is served first, however many entries the others have queued. Usage decays
 * with a time constant of one second.
 *
 * @param <T> the type of the entries
 */
final class FairQueue<T> {

	private static final double MINIMUM_USAGE = 0.1;

	private static final double DOMINANCE_RATIO = 2;

	private final int capacity;

	private final Map<String, Deque<T>> queues = new HashMap<>();

	private final Deque<String> organisations = new ArrayDeque<>();

	private final Map<String, Usage> usages = new HashMap<>();

	/**
	 * Creates a new empty queue.
	 * @param capacity the maximum number of entries in the queue of each organisation
	 */
	FairQueue(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds an entry to the tail of its organisation's queue.
	 * @param organisation the name of the organisation
	 * @param entry the entry
	 * @return whether the queue had room
	 */
	boolean offer(String organisation, T entry) {
		Deque<T> queue = queue(organisation);
		return queue.size() < this.capacity && queue.offerLast(entry);
	}

	/**
	 * Adds an entry to the head of its organisation's queue, regardless of the capacity.
	 * @param organisation the name of the organisation
	 * @param entry the entry
	 */
	void requeueFirst(String organisation, T entry) {
		queue(organisation).addFirst(entry);
	}

	/**
	 * Offers the head of each organisation's queue, in order of increasing usage and
	 * otherwise in turn, until one is accepted, and removes that entry.
	 * @param acceptor returns whether it accepts an entry
	 * @param now the current time in nanoseconds
	 * @return whether an entry was accepted
	 */
	boolean serveNext(Predicate<T> acceptor, long now) {
		Optional<String> served = this.organisations.stream()
			.sorted(Comparator.comparingDouble((String organisation) -> usage(organisation).level(now)))
			.filter((organisation) -> acceptor.test(this.queues.get(organisation).peekFirst()))
			.findFirst();
		served.ifPresent((organisation) -> advance(organisation, now));
		return served.isPresent();
	}

	/**
	 * Returns the organisation whose usage exceeds twice the average usage of the others.
	 * @param now the current time in nanoseconds
	 * @return the name of the organisation, or an empty string if there is none
	 */
	String dominantOrganisation(long now) {
		DoubleSummaryStatistics levels = this.usages.values()
			.stream()
			.mapToDouble((usage) -> usage.level(now))
			.filter((level) -> level > MINIMUM_USAGE)
			.summaryStatistics();
		double others = (levels.getSum() - levels.getMax()) / (levels.getCount() - 1);
		return (levels.getCount() < 2 || levels.getMax() <= DOMINANCE_RATIO * others) ? ""
				: this.usages.entrySet()
					.stream()
					.max(Comparator.comparingDouble((entry) -> entry.getValue().level(now)))
					.map(Map.Entry::getKey)
					.orElse("");
	}

	/**
	 * Removes all entries that match a condition.
	 * @param condition the condition
	 * @return the removed entries
	 */
	List<T> removeIf(Predicate<T> condition) {
		List<T> removed = this.queues.values().stream().flatMap(Deque::stream).filter(condition).toList();
		if (!removed.isEmpty()) {
			this.queues.values().forEach((queue) -> queue.removeIf(condition));
			this.queues.values().removeIf(Deque::isEmpty);
			this.organisations.removeIf((organisation) -> !this.queues.containsKey(organisation));
		}
		return removed;
	}

	/**
	 * Returns the number of entries.
	 * @return the number of entries
	 */
	int size() {
		return this.queues.values().stream().mapToInt(Deque::size).sum();
	}

	private Usage usage(String organisation) {
		return this.usages.computeIfAbsent(organisation, (name) -> new Usage());
	}

	private void advance(String organisation, long now) {
		usage(organisation).add(now);
		this.organisations.remove(organisation);
		Deque<T> queue = this.queues.get(organisation);
		queue.removeFirst();
		if (queue.isEmpty()) {
			this.queues.remove(organisation);
		}
		else {
			this.organisations.addLast(organisation);
		}
	}

	private Deque<T> queue(String organisation) {
		return this.queues.computeIfAbsent(organisation, (name) -> {
			this.organisations.addLast(name);
			return new ArrayDeque<>();
		});
	}

	/**
	 * The number of entries served, with exponential decay.
	 */
	private static final class Usage {

		private static final double DECAY_TIME_CONSTANT_NANOS = 1e9;

		private double level;

		private long updatedAt;

		private double level(long now) {
			return this.level * Math.exp((this.updatedAt - now) / DECAY_TIME_CONSTANT_NANOS);
		}

		private void add(long now) {
			this.level = level(now) + 1;
			this.updatedAt = now;
		}

	}

}
