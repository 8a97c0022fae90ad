package io.masticlane.membership;

import java.util.concurrent.TimeUnit;

/**
 * The last time since the start of this process at which the platform's store was
 * certainly heard, by this entry host or by one that told it so.
 */
public final class StoreContact {

	/**
	 * The age in milliseconds of a contact that never was.
	 */
	public static final long NEVER_MILLIS = TimeUnit.DAYS.toMillis(365);

	private final long startedAt;

	private volatile long heardAt;

	/**
	 * Creates a new contact that never was.
	 * @param now the present in nanoseconds
	 */
	public StoreContact(long now) {
		this.startedAt = now;
		this.heardAt = now - TimeUnit.MILLISECONDS.toNanos(NEVER_MILLIS);
	}

	/**
	 * Receives an answer of the store, which shows its state at some time after the
	 * question.
	 * @param askedAt the time of the question in nanoseconds
	 */
	public void storeResponded(long askedAt) {
		advance(askedAt);
	}

	/**
	 * Receives what a peer tells of its own contact. A message may have been under way
	 * for long, so the age counts from a time before which it cannot have been sent. A
	 * contact from before this process started does not count.
	 * @param sentNotBefore the time before which the peer cannot have sent it, in
	 * nanoseconds
	 * @param ageMillis the age that the peer tells
	 */
	public void peerReported(long sentNotBefore, long ageMillis) {
		long age = Math.max(0, Math.min(ageMillis, NEVER_MILLIS));
		advance(sentNotBefore - TimeUnit.MILLISECONDS.toNanos(age));
	}

	/**
	 * Returns the time since the store was certainly heard.
	 * @param now the present in nanoseconds
	 * @return the age in milliseconds, rounded up
	 */
	public long ageMillis(long now) {
		return Math.min(NEVER_MILLIS, TimeUnit.NANOSECONDS.toMillis(now - this.heardAt) + 1);
	}

	private void advance(long time) {
		if (time - this.startedAt >= 0 && time - this.heardAt > 0) {
			this.heardAt = time;
		}
	}

}
