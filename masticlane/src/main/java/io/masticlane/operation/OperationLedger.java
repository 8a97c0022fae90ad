package io.masticlane.operation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.masticlane.operation.Operations.Verdict.Kind;

/**
 * Records the claims on the operations that this process owns, grouped by epoch. An
 * operation is granted to one attempt, and again only after that attempt released it. The
 * ledger keeps the current and the previous epoch. The records of older epochs are
 * dropped together, and operations of these epochs are never granted again.
 */
public final class OperationLedger {

	private final String incarnation;

	private final Bounds bounds;

	private final Map<Long, Map<String, Map<String, Entry>>> epochs = new HashMap<>();

	private long epoch = 1;

	private int responseBytes;

	/**
	 * Creates a new empty ledger in epoch 1.
	 * @param incarnation the identifier of this process
	 * @param bounds the size limits of the ledger
	 */
	public OperationLedger(String incarnation, Bounds bounds) {
		this.incarnation = incarnation;
		this.bounds = bounds;
		this.epochs.put(this.epoch, new HashMap<>());
	}

	/**
	 * Returns the current epoch.
	 * @return the current epoch
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * Starts the next epoch and drops the records of all but the current and the previous
	 * epoch.
	 */
	public void openEpoch() {
		this.epoch++;
		this.epochs.put(this.epoch, new HashMap<>());
		Map<String, Map<String, Entry>> expired = this.epochs.remove(this.epoch - 2);
		if (expired != null) {
			expired.values().forEach((entries) -> entries.values().forEach(this::subtractResponseBytes));
		}
	}

	/**
	 * Decides on a claim to run an operation that this process owns.
	 * @param operation the operation
	 * @param claimant the attempt that claims the operation
	 * @return the decision
	 */
	public Decision claim(Operation operation, Claimant claimant) {
		Map<String, Map<String, Entry>> epochEntries = this.epochs.get(operation.owner().epoch());
		if (epochEntries == null) {
			return Decision.of(Kind.UNKNOWN);
		}
		Map<String, Entry> entries = epochEntries.computeIfAbsent(operation.organisation(), (key) -> new HashMap<>());
		Entry entry = entries.get(operation.key());
		if (entry != null) {
			return decideRepeatedClaim(operation, entry);
		}
		if (entries.size() >= this.bounds.operationsOfOrganisation() || size() >= this.bounds.operations()) {
			return Decision.of(Kind.FULL);
		}
		entries.put(operation.key(), new Entry(operation.fingerprint(), claimant));
		return Decision.of(Kind.GRANTED);
	}

	/**
	 * Releases the grant of an operation, which may then be granted again. Does nothing
	 * unless the claimant holds the grant and has not ended.
	 * @param operation the operation
	 * @param claimant the attempt that was granted the operation
	 */
	public void release(Operation operation, Claimant claimant) {
		entryHeldBy(operation, claimant).ifPresent((entry) -> this.epochs.get(operation.owner().epoch())
			.get(operation.organisation())
			.remove(operation.key()));
	}

	/**
	 * Records the end of the attempt that holds the grant of an operation. Does nothing
	 * unless the claimant holds the grant and has not ended.
	 * @param operation the operation
	 * @param claimant the attempt that was granted the operation
	 * @param response the complete response, or nothing if there was none or it was too
	 * large to record
	 */
	public void end(Operation operation, Claimant claimant, Optional<RecordedResponse> response) {
		entryHeldBy(operation, claimant).ifPresent((entry) -> {
			entry.running = false;
			response.filter((each) -> this.responseBytes + each.size() <= this.bounds.responseBytes())
				.ifPresent((each) -> {
					entry.response = Optional.of(each);
					this.responseBytes += each.size();
				});
		});
	}

	/**
	 * Returns whether an operation that this process owns has certainly not run: it is
	 * not granted, or every grant was released.
	 * @param operation the operation
	 * @return whether the operation has certainly not run; {@code false} if the ledger
	 * does not keep its epoch
	 */
	public boolean isKnownNotRun(Operation operation) {
		Map<String, Map<String, Entry>> epochEntries = this.epochs.get(operation.owner().epoch());
		return epochEntries != null
				&& !epochEntries.getOrDefault(operation.organisation(), Map.of()).containsKey(operation.key());
	}

	/**
	 * Returns the number of operations in the ledger.
	 * @return the number of operations in all kept epochs
	 */
	public int size() {
		return this.epochs.values().stream().flatMap((each) -> each.values().stream()).mapToInt(Map::size).sum();
	}

	private Decision decideRepeatedClaim(Operation operation, Entry entry) {
		if (entry.fingerprint != operation.fingerprint()) {
			return Decision.of(Kind.MISMATCHED);
		}
		if (entry.running && entry.holder.incarnation().equals(this.incarnation)) {
			return Decision.of(Kind.RUNNING);
		}
		return new Decision(entry.response.isPresent() ? Kind.ANSWERED : Kind.UNKNOWN, entry.response);
	}

	private Optional<Entry> entryHeldBy(Operation operation, Claimant claimant) {
		return Optional.ofNullable(this.epochs.get(operation.owner().epoch()))
			.map((epochEntries) -> epochEntries.get(operation.organisation()))
			.map((entries) -> entries.get(operation.key()))
			.filter((entry) -> entry.running && entry.holder.equals(claimant));
	}

	private void subtractResponseBytes(Entry entry) {
		entry.response.ifPresent((each) -> this.responseBytes -= each.size());
	}

	/**
	 * The size limits of a ledger.
	 *
	 * @param operations the maximum number of operations
	 * @param operationsOfOrganisation the maximum number of operations of one
	 * organisation in an epoch
	 * @param responseBytes the maximum total size of the recorded responses in bytes
	 */
	public record Bounds(int operations, int operationsOfOrganisation, int responseBytes) {
	}

	/**
	 * Identifies an attempt that claims to run an operation.
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
	 * @param response the recorded response to an earlier attempt, if there is one
	 */
	public record Decision(Kind kind, Optional<RecordedResponse> response) {

		static Decision of(Kind kind) {
			return new Decision(kind, Optional.empty());
		}

	}

	private static final class Entry {

		private final long fingerprint;

		private final Claimant holder;

		private boolean running = true;

		private Optional<RecordedResponse> response = Optional.empty();

		private Entry(long fingerprint, Claimant holder) {
			this.fingerprint = fingerprint;
			this.holder = holder;
		}

	}

}
