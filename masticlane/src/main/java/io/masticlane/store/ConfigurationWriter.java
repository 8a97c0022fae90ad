package io.masticlane.store;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;

/**
 * Writes a configuration by compare-and-swap. Determines whether the write took effect
 * when its reply was lost, also if later writes replaced it.
 */
public final class ConfigurationWriter {

	private static final int MAXIMUM_ATTEMPTS = 10;

	private static final long RETRY_PAUSE_MILLIS = 500;

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
	 * Writes a configuration if the stored revision is the expected one.
	 * @param envelope the envelope, whose nonce is unique to this write
	 * @param expectedRevision the expected revision, or {@link Store#ABSENT}
	 * @return the result
	 */
	public Result write(ConfigurationEnvelope envelope, long expectedRevision) {
		Optional<Store.Entry> stored = this.store.read(this.key).join();
		long current = stored.map(Store.Entry::revision).orElse(Store.ABSENT);
		if (current != expectedRevision) {
			return Result.conflict(current);
		}
		ConfigurationEnvelope successor = stored
			.map((entry) -> envelope.withPredecessor(current, ConfigurationEnvelope.decode(entry.value())))
			.orElse(envelope);
		return writeUntilReply(successor, expectedRevision);
	}

	private Result writeUntilReply(ConfigurationEnvelope envelope, long expectedRevision) {
		boolean replyLost = false;
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
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
				pauseBeforeRetry();
			}
		}
		return Result.unknown(Store.ABSENT);
	}

	/**
	 * Determines whether an attempt without a reply took effect. No pending attempt can
	 * take effect any more, because the stored revision is not the expected one.
	 * @param envelope the envelope of the attempt
	 * @param expectedRevision the expected revision
	 * @return the result
	 */
	private Result readBack(ConfigurationEnvelope envelope, long expectedRevision) {
		Optional<Store.Entry> stored = this.store.read(this.key).join();
		if (stored.isEmpty()) {
			return Result.unknown(Store.ABSENT);
		}
		long last = stored.get().revision();
		ConfigurationEnvelope current = ConfigurationEnvelope.decode(stored.get().value());
		if (current.nonce().equals(envelope.nonce())) {
			return Result.accepted(last, last);
		}
		OptionalLong replacedRevision = current.revisionOf(envelope.nonce());
		if (replacedRevision.isPresent()) {
			return Result.accepted(replacedRevision.getAsLong(), last);
		}
		return current.hasAllWritesAfter(expectedRevision) ? Result.conflict(last) : Result.unknown(last);
	}

	private static void pauseBeforeRetry() {
		try {
			Thread.sleep(RETRY_PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * The result of a write.
	 *
	 * @param verdict whether the write took effect
	 * @param revision the revision of the accepted write, otherwise the last revision
	 * @param lastRevision the last revision of the key, which is higher than the accepted
	 * one if later writes replaced it
	 */
	public record Result(Verdict verdict, long revision, long lastRevision) {

		static Result accepted(long revision, long lastRevision) {
			return new Result(Verdict.ACCEPTED, revision, lastRevision);
		}

		static Result conflict(long lastRevision) {
			return new Result(Verdict.CONFLICT, lastRevision, lastRevision);
		}

		static Result unknown(long lastRevision) {
			return new Result(Verdict.UNKNOWN, lastRevision, lastRevision);
		}

		/**
		 * Returns whether the write took effect.
		 * @return whether the write took effect
		 */
		public boolean accepted() {
			return this.verdict == Verdict.ACCEPTED;
		}

	}

	/**
	 * Whether a write took effect.
	 */
	public enum Verdict {

		/**
		 * The write took effect.
		 */
		ACCEPTED,

		/**
		 * Another write came first, and this write had no effect.
		 */
		CONFLICT,

		/**
		 * The write may have taken effect.
		 */
		UNKNOWN

	}

}
