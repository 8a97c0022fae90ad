package io.masticlane.store;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;

/**
 * Writes a configuration by compare-and-swap, and finds out after a lost reply whether
 * the write took effect, also when other writes came on top of it.
 */
public final class ConfigurationWriter {

	private static final int ATTEMPTS = 10;

	private static final long PAUSE_MILLIS = 500;

	private final Store store;

	private final String key;

	/**
	 * Creates a new writer.
	 * @param store the platform's store
	 * @param key the key of the configuration
	 */
	public ConfigurationWriter(Store store, String key) {
		this.store = store;
		this.key = key;
	}

	/**
	 * Writes a configuration if the last revision is the expected one.
	 * @param envelope the envelope, whose nonce belongs to this write alone
	 * @param expectedRevision the expected revision, or {@link Store#ABSENT}
	 * @return the result
	 */
	public Result write(ConfigurationEnvelope envelope, long expectedRevision) {
		Optional<Store.Entry> base = this.store.read(this.key).join();
		long present = base.map(Store.Entry::revision).orElse(Store.ABSENT);
		if (present != expectedRevision) {
			return Result.conflict(present);
		}
		ConfigurationEnvelope successor = base
			.map((entry) -> envelope.after(present, ConfigurationEnvelope.decode(entry.value())))
			.orElse(envelope);
		return writeUntilKnown(successor, expectedRevision);
	}

	private Result writeUntilKnown(ConfigurationEnvelope envelope, long expectedRevision) {
		boolean replyLost = false;
		for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
			try {
				Store.WriteResult result = this.store
					.compareAndSet(this.key, expectedRevision, envelope.encode(), Store.NO_LEASE)
					.join();
				if (result.succeeded()) {
					return Result.accepted(result.revision(), result.revision());
				}
				return replyLost ? readBack(envelope, expectedRevision) : Result.conflict(result.revision());
			}
			catch (CompletionException ex) {
				replyLost = true;
				pause();
			}
		}
		return Result.unknown(Store.ABSENT);
	}

	/**
	 * Finds out what became of an attempt without a reply. No attempt can take effect any
	 * more, for the expected revision is gone.
	 * @param envelope the envelope that was written
	 * @param expectedRevision the expected revision
	 * @return the result
	 */
	private Result readBack(ConfigurationEnvelope envelope, long expectedRevision) {
		Optional<Store.Entry> found = this.store.read(this.key).join();
		if (found.isEmpty()) {
			return Result.unknown(Store.ABSENT);
		}
		long last = found.get().revision();
		ConfigurationEnvelope present = ConfigurationEnvelope.decode(found.get().value());
		if (present.nonce().equals(envelope.nonce())) {
			return Result.accepted(last, last);
		}
		OptionalLong superseded = present.revisionOf(envelope.nonce());
		if (superseded.isPresent()) {
			return Result.accepted(superseded.getAsLong(), last);
		}
		return present.namesAllAfter(expectedRevision) ? Result.conflict(last) : Result.unknown(last);
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * The result of a write.
	 *
	 * @param verdict what became of the write
	 * @param revision the revision of an accepted configuration, otherwise the last one
	 * @param last the last revision, which is higher if other writes came on top
	 */
	public record Result(Verdict verdict, long revision, long last) {

		static Result accepted(long revision, long last) {
			return new Result(Verdict.ACCEPTED, revision, last);
		}

		static Result conflict(long last) {
			return new Result(Verdict.CONFLICT, last, last);
		}

		static Result unknown(long last) {
			return new Result(Verdict.UNKNOWN, last, last);
		}

		/**
		 * Tells whether the configuration was accepted.
		 * @return whether the configuration was accepted
		 */
		public boolean accepted() {
			return this.verdict == Verdict.ACCEPTED;
		}

	}

	/**
	 * What became of a write.
	 */
	public enum Verdict {

		/**
		 * The write took effect.
		 */
		ACCEPTED,

		/**
		 * Another write came first, and this one took no effect.
		 */
		CONFLICT,

		/**
		 * It cannot be told whether the write took effect.
		 */
		UNKNOWN

	}

}
