package io.masticlane.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this process can rule out that it missed the revocation of a key: it
 * had contact with the store, or with a majority of the configured entry hosts, within
 * the bound. A majority suffices because a revocation counts as confirmed once a majority
 * has applied it, and any two majorities have a process in common.
 * <p>
 * A process counts towards a majority only if there was contact with the store since that
 * process started, because a new process remembers no confirmation; and a peer counts
 * only if it has no newer revision than this process. Modified on the decisions thread
 * only.
 */
public final class KeyFreshness {

	private final long boundNanos;

	private final StoreContact contact;

	private final long startedAt;

	private final Map<String, Long> peerContacts = new HashMap<>();

	private Set<String> configured = Set.of();

	private volatile long freshUntil;

	/**
	 * Creates a new instance that is not fresh.
	 * @param boundMillis the time in milliseconds for which contact counts
	 * @param now the current time in nanoseconds
	 */
	public KeyFreshness(long boundMillis, long now) {
		this.boundNanos = TimeUnit.MILLISECONDS.toNanos(boundMillis);
		this.contact = new StoreContact(now);
		this.startedAt = now;
		this.freshUntil = now;
	}

	/**
	 * Sets the configured entry hosts.
	 * @param hosts the names of all configured entry hosts
	 */
	public void configure(Set<String> hosts) {
		this.configured = Set.copyOf(hosts);
		this.peerContacts.keySet().retainAll(hosts);
	}

	/**
	 * Records a response of the store that contains no newer revision.
	 * @param requestedAt the time of the request in nanoseconds
	 */
	public void storeResponded(long requestedAt) {
		this.contact.storeResponded(requestedAt);
	}

	/**
	 * Records a heartbeat of a peer that has no newer revision.
	 * @param host the name of the peer's entry host
	 * @param sentNotBefore the time before which it cannot have been sent, in nanoseconds
	 * @param storeAgeMillis the age of the peer's store contact
	 */
	public void peerReported(String host, long sentNotBefore, long storeAgeMillis) {
		if (storeAgeMillis < StoreContact.NEVER_MILLIS) {
			this.contact.peerReported(sentNotBefore, storeAgeMillis);
			if (this.configured.contains(host)) {
				this.peerContacts.merge(host, sentNotBefore,
						(previous, next) -> (next - previous > 0) ? next : previous);
			}
		}
	}

	/**
	 * Updates the time until which this process is fresh.
	 * @param self the name of this entry host
	 * @param now the current time in nanoseconds
	 */
	public void update(String self, long now) {
		long storeContactAt = now - TimeUnit.MILLISECONDS.toNanos(this.contact.ageMillis(now));
		long majorityContactAt = lastMajorityContact(self, now);
		this.freshUntil = ((majorityContactAt - storeContactAt > 0) ? majorityContactAt : storeContactAt)
				+ this.boundNanos;
	}

	/**
	 * Returns the age of the store contact that is reported to peers: contact that
	 * revealed a newer revision does not count, so that no peer relies on it.
	 * @param now the current time in nanoseconds
	 * @return the age in milliseconds
	 */
	public long storeAgeMillis(long now) {
		return this.contact.ageMillis(now);
	}

	/**
	 * Returns whether this process is fresh; may be called on any thread.
	 * @param now the current time in nanoseconds
	 * @return whether this process is fresh
	 */
	public boolean isFresh(long now) {
		return now - this.freshUntil < 0;
	}

	private long lastMajorityContact(String self, long now) {
		boolean selfCounts = this.configured.contains(self) && this.contact.ageMillis(now) < StoreContact.NEVER_MILLIS;
		int needed = this.configured.size() / 2 + 1 - (selfCounts ? 1 : 0);
		if (needed <= 0) {
			return now;
		}
		List<Long> latest = this.peerContacts.values()
			.stream()
			.sorted(Comparator.comparingLong((Long at) -> now - at))
			.limit(needed)
			.toList();
		return (latest.size() < needed) ? this.startedAt - this.boundNanos : latest.get(needed - 1);
	}

}
