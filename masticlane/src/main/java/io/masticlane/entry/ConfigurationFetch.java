package io.masticlane.entry;

import java.util.concurrent.TimeUnit;

/**
 * Decides which peer to ask for a configuration, so that a document crosses to this entry
 * host once although every peer announces it.
 */
final class ConfigurationFetch {

	private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private String asked = "";

	private long askedRevision;

	private long askedAt;

	/**
	 * Decides whether to ask a peer that announced a wanted revision.
	 * @param host the name of the peer's entry host
	 * @param announced the announced revision
	 * @param now the present in nanoseconds
	 * @return whether to ask the peer
	 */
	boolean asks(String host, long announced, long now) {
		long waited = now - this.askedAt;
		boolean impatient = waited > PATIENCE_NANOS && !host.equals(this.asked) || waited > 2 * PATIENCE_NANOS;
		if (announced <= this.askedRevision && !impatient) {
			return false;
		}
		this.asked = host;
		this.askedRevision = announced;
		this.askedAt = now;
		return true;
	}

}
