package io.masticlane.operation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.masticlane.operation.Operations.Verdict.Kind;

/**
 * The operations that one process owns, by the epoch in which they began. An operation is
 * granted to one attempt; it is granted again only after that attempt released it. Epochs
 * before the previous one are forgotten whole, and their operations are never granted
 * again.
 */
public final class OperationLedger {

	private final String incarnation;

	private final Bounds bounds;

	private final Map<Long, Map<String, Map<String, Entry>>> epochs = new HashMap<>();

	private long epoch = 1;

	private int answerBytes;

	/**
	 * Creates a new ledger in its first epoch.
	 * @param incarnation the identifier of this process
	 * @param bounds the bounds of the ledger
	 */
	public OperationLedger(String incarnation, Bounds bounds) {
		this.incarnation = incarnation;
		this.bounds = bounds;
		this.epochs.put(this.epoch, new HashMap<>());
	}

	/**
	 * Returns the present epoch.
	 * @return the present epoch
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * Opens the next epoch and forgets the one before the previous.
	 */
	public void openEpoch() {
		this.epoch++;
		this.epochs.put(this.epoch, new HashMap<>());
		Map<String, Map<String, Entry>> closed = this.epochs.remove(this.epoch - 2);
		if (closed != null) {
			closed.values().forEach((entries) -> entries.values().forEach(this::forgetAnswer));
		}
	}

	/**
	 * Decides on a claim of an operation that this process owns.
	 * @param operation the operation
	 * @param claimant the attempt that claims the operation
	 * @return the decision
	 */
	public Decision claim(Operation operation, Claimant claimant) {
		Map<String, Map<String, Entry>> open = this.epochs.get(operation.owner().epoch());
		if (open == null) {
			return Decision.of(Kind.UNKNOWN);
		}
		Map<String, Entry> entries = open.computeIfAbsent(operation.organisation(), (key) -> new HashMap<>());
		Entry entry = entries.get(operation.key());
		if (entry != null) {
			return again(operation, entry);
		}
		if (entries.size() >= this.bounds.operationsOfOrganisation() || size() >= this.bounds.operations()) {
			return Decision.of(Kind.FULL);
		}
		entries.put(operation.key(), new Entry(operation.fingerprint(), claimant));
		return Decision.of(Kind.GRANTED);
	}

	/**
	 * Returns the right to run an operation; counts only for the attempt that holds it.
	 * @param operation the operation
	 * @param claimant the attempt that was granted the operation
	 */
	public void release(Operation operation, Claimant claimant) {
		held(operation, claimant).ifPresent((entry) -> this.epochs.get(operation.owner().epoch())
			.get(operation.organisation())
			.remove(operation.key()));
	}

	/**
	 * Records the end of the attempt that holds an operation.
	 * @param operation the operation
	 * @param claimant the attempt that was granted the operation
	 * @param answer the whole answer, if there was one and it is small enough
	 */
	public void end(Operation operation, Claimant claimant, Optional<RecordedAnswer> answer) {
		held(operation, claimant).ifPresent((entry) -> {
			entry.running = false;
			answer.filter((each) -> this.answerBytes + each.size() <= this.bounds.answerBytes()).ifPresent((each) -> {
				entry.answer = Optional.of(each);
				this.answerBytes += each.size();
			});
		});
	}

	/**
	 * Tells whether no attempt at an operation that this process owns was granted, except
	 * for those that released it.
	 * @param operation the operation
	 * @return whether no attempt was granted; never for a closed epoch
	 */
	public boolean knownNotRun(Operation operation) {
		Map<String, Map<String, Entry>> open = this.epochs.get(operation.owner().epoch());
		return open != null && !open.getOrDefault(operation.organisation(), Map.of()).containsKey(operation.key());
	}

	/**
	 * Returns the number of operations in the ledger.
	 * @return the number of operations in the ledger
	 */
	public int size() {
		return this.epochs.values().stream().flatMap((each) -> each.values().stream()).mapToInt(Map::size).sum();
	}

	private Decision again(Operation operation, Entry entry) {
		if (entry.fingerprint != operation.fingerprint()) {
			return Decision.of(Kind.MISMATCHED);
		}
		if (entry.running && entry.holder.incarnation().equals(this.incarnation)) {
			return Decision.of(Kind.RUNNING);
		}
		return new Decision(entry.answer.isPresent() ? Kind.ANSWERED : Kind.UNKNOWN, entry.answer);
	}

	private Optional<Entry> held(Operation operation, Claimant claimant) {
		return Optional.ofNullable(this.epochs.get(operation.owner().epoch()))
			.map((open) -> open.get(operation.organisation()))
			.map((entries) -> entries.get(operation.key()))
			.filter((entry) -> entry.running && entry.holder.equals(claimant));
	}

	private void forgetAnswer(Entry entry) {
		entry.answer.ifPresent((each) -> this.answerBytes -= each.size());
	}

	/**
	 * The bounds of a ledger.
	 *
	 * @param operations the most operations in all
	 * @param operationsOfOrganisation the most operations of one organisation in an epoch
	 * @param answerBytes the most bytes of kept answers
	 */
	public record Bounds(int operations, int operationsOfOrganisation, int answerBytes) {
	}

	/**
	 * Identifies an attempt that claims an operation.
	 *
	 * @param incarnation the identifier of the process that makes the attempt
	 * @param claim the identifier of the claim, unique within the process
	 */
	public record Claimant(String incarnation, long claim) {
	}

	/**
	 * The decision on a claim.
	 *
	 * @param kind the kind of verdict
	 * @param answer the answer to an earlier attempt, if it is kept
	 */
	public record Decision(Kind kind, Optional<RecordedAnswer> answer) {

		static Decision of(Kind kind) {
			return new Decision(kind, Optional.empty());
		}

	}

	private static final class Entry {

		private final long fingerprint;

		private final Claimant holder;

		private boolean running = true;

		private Optional<RecordedAnswer> answer = Optional.empty();

		private Entry(long fingerprint, Claimant holder) {
			this.fingerprint = fingerprint;
			this.holder = holder;
		}

	}

}
