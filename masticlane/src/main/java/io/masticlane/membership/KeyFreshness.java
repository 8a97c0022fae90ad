package io.masticlane.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this process can still know that no key was withdrawn without its
 * hearing of it: it heard the store lately, or it is in touch with a majority of the
 * configured entry hosts. A majority suffices because a withdrawal counts as confirmed
 * once a majority has it in force, and any two majorities share a process.
 * <p>
 * A process counts towards a majority only if the store was heard since that process
 * started, for a new one remembers no confirmation; and a peer counts only if it has no
 * newer revision than this process. Changed on the decisions' thread alone.
 */
public final class KeyFreshness {

	private final long boundNanos;

	private final StoreContact contact;

	private final long startedAt;

	private final Map<String, Long> peers = new HashMap<>();

	private Set<String> configured = Set.of();

	private volatile long freshUntil;

	/**
	 * Creates a new freshness that has lapsed.
	 * @param boundMillis the time for which contact counts
	 * @param now the present in nanoseconds
	 */
	public KeyFreshness(long boundMillis, long now) {
		this.boundNanos = TimeUnit.MILLISECONDS.toNanos(boundMillis);
		this.contact = new StoreContact(now);
		this.startedAt = now;
		this.freshUntil = now;
	}

	/**
	 * Puts the configured entry hosts in force.
	 * @param hosts the names of all configured entry hosts
	 */
	public void configure(Set<String> hosts) {
		this.configured = Set.copyOf(hosts);
		this.peers.keySet().retainAll(hosts);
	}

	/**
	 * Receives an answer of the store that shows no newer revision.
	 * @param askedAt the time of the question in nanoseconds
	 */
	public void storeResponded(long askedAt) {
		this.contact.storeResponded(askedAt);
	}

	/**
	 * Receives a heartbeat of a peer that has no newer revision.
	 * @param host the name of the peer's entry host
	 * @param sentNotBefore the time before which it cannot have been sent, in nanoseconds
	 * @param storeAgeMillis the age of the peer's store contact
	 */
	public void peerReported(String host, long sentNotBefore, long storeAgeMillis) {
		if (storeAgeMillis < StoreContact.NEVER_MILLIS) {
			this.contact.peerReported(sentNotBefore, storeAgeMillis);
			if (this.configured.contains(host)) {
				this.peers.merge(host, sentNotBefore, (former, next) -> (next - former > 0) ? next : former);
			}
		}
	}

	/**
	 * Computes until when this process is fresh.
	 * @param self the name of this entry host
	 * @param now the present in nanoseconds
	 */
	public void update(String self, long now) {
		long byStore = now - TimeUnit.MILLISECONDS.toNanos(this.contact.ageMillis(now));
		long byMajority = majorityAt(self, now);
		this.freshUntil = ((byMajority - byStore > 0) ? byMajority : byStore) + this.boundNanos;
	}

	/**
	 * Returns the age of the store contact, to be told to peers: contact that showed a
	 * newer revision does not count, so that a peer does not take it for its own.
	 * @param now the present in nanoseconds
	 * @return the age in milliseconds
	 */
	public long storeAgeMillis(long now) {
		return this.contact.ageMillis(now);
	}

	/**
	 * Tells whether this process is fresh; may be called on any thread.
	 * @param now the present in nanoseconds
	 * @return whether this process is fresh
	 */
	public boolean isFresh(long now) {
		return now - this.freshUntil < 0;
	}

	private long majorityAt(String self, long now) {
		boolean counts = this.configured.contains(self) && this.contact.ageMillis(now) < StoreContact.NEVER_MILLIS;
		int needed = this.configured.size() / 2 + 1 - (counts ? 1 : 0);
		if (needed <= 0) {
			return now;
		}
		List<Long> latest = this.peers.values()
			.stream()
			.sorted(Comparator.comparingLong((Long at) -> now - at))
			.limit(needed)
			.toList();
		return (latest.size() < needed) ? this.startedAt - this.boundNanos : latest.get(needed - 1);
	}

}
