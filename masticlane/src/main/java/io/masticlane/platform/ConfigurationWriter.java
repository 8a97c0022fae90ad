package io.masticlane.platform;

import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * Writes a configuration by compare-and-swap, and finds out after a lost reply whether
 * the write took effect.
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
		StoreException last = null;
		for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
			try {
				return writeOnce(envelope, expectedRevision);
			}
			catch (CompletionException ex) {
				last = (StoreException) ex.getCause();
				pause();
			}
		}
		throw new StoreException("it is not known whether the write took effect: " + last.getMessage(), last);
	}

	private Result writeOnce(ConfigurationEnvelope envelope, long expectedRevision) {
		Store.WriteResult result = this.store
			.compareAndSet(this.key, expectedRevision, envelope.encode(), Store.NO_LEASE)
			.join();
		if (result.succeeded()) {
			return new Result(true, result.revision());
		}
		Optional<Store.Entry> present = this.store.read(this.key).join();
		boolean own = present
			.map((entry) -> ConfigurationEnvelope.decode(entry.value()).nonce().equals(envelope.nonce()))
			.orElse(false);
		return new Result(own, present.map(Store.Entry::revision).orElse(Store.ABSENT));
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
	 * @param accepted whether the configuration was accepted
	 * @param revision its revision, or the last revision that prevented it
	 */
	public record Result(boolean accepted, long revision) {
	}

}
