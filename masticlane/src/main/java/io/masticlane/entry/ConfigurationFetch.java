package io.masticlane.entry;

import java.util.concurrent.TimeUnit;

/**
 * Decides which peer to ask for a configuration document, so that a single peer sends it
 * although all peers announce the same revision.
 */
final class ConfigurationFetch {

	/**
	 * The time after which another peer is asked; the same peer is asked again after
	 * twice this time.
	 */
	private static final long REPLY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private String lastHost = "";

	private long lastRevision;

	private long lastAskedAt;

	/**
	 * Decides whether to ask a peer that announced a newer revision.
	 * @param host the name of the peer's entry host
	 * @param announced the announced revision
	 * @param now the current time in nanoseconds
	 * @return whether to ask the peer
	 */
	boolean shouldAsk(String host, long announced, long now) {
		long elapsed = now - this.lastAskedAt;
		boolean timedOut = elapsed > REPLY_TIMEOUT_NANOS && !host.equals(this.lastHost)
				|| elapsed > 2 * REPLY_TIMEOUT_NANOS;
		if (announced <= this.lastRevision && !timedOut) {
			return false;
		}
		this.lastHost = host;
		this.lastRevision = announced;
		this.lastAskedAt = now;
		return true;
	}

}
