package io.masticlane.membership;

import java.util.concurrent.TimeUnit;

/**
 * The last time since the start of this process at which this entry host, or a peer that
 * reported it, certainly had contact with the platform's store.
 */
public final class StoreContact {

	/**
	 * The age in milliseconds that stands for no contact at all.
	 */
	public static final long NEVER_MILLIS = TimeUnit.DAYS.toMillis(365);

	private final long startedAt;

	private volatile long contactAt;

	/**
	 * Creates a new instance without any contact.
	 * @param now the current time in nanoseconds
	 */
	public StoreContact(long now) {
		this.startedAt = now;
		this.contactAt = now - TimeUnit.MILLISECONDS.toNanos(NEVER_MILLIS);
	}

	/**
	 * Records a response of the store, which reflects its state at some time after the
	 * request.
	 * @param requestedAt the time of the request in nanoseconds
	 */
	public void storeResponded(long requestedAt) {
		advance(requestedAt);
	}

	/**
	 * Records the store contact that a peer reports. A message may be delayed for any
	 * length of time, so the age counts from a time before which it cannot have been
	 * sent. Contact from before this process started does not count.
	 * @param sentNotBefore the time before which the peer cannot have sent the message,
	 * in nanoseconds
	 * @param ageMillis the age that the peer reports
	 */
	public void peerReported(long sentNotBefore, long ageMillis) {
		long age = Math.max(0, Math.min(ageMillis, NEVER_MILLIS));
		advance(sentNotBefore - TimeUnit.MILLISECONDS.toNanos(age));
	}

	/**
	 * Returns the time since the last certain contact with the store.
	 * @param now the current time in nanoseconds
	 * @return the age in milliseconds, rounded up
	 */
	public long ageMillis(long now) {
		return Math.min(NEVER_MILLIS, TimeUnit.NANOSECONDS.toMillis(now - this.contactAt) + 1);
	}

	private void advance(long time) {
		if (time - this.startedAt >= 0 && time - this.contactAt > 0) {
			this.contactAt = time;
		}
	}

}
