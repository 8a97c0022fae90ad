package io.masticlane.share;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.masticlane.peer.Peer;

/**
 * The view of the store that a majority of the entry hosts has. Heartbeats are dated by
 * their echo: one that echoes a heartbeat of this process was sent after that heartbeat,
 * however late it is received.
 */
public final class StoreQuorum {

	/**
	 * The age that a heartbeat reports if the time of the last store contact is unknown.
	 */
	public static final long UNKNOWN_AGE_MILLIS = -1;

	private static final long RECENT_CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private static final long RESPONSIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);

	private static final long OUTAGE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_750);

	private final Map<String, Vote> votes = new HashMap<>();

	private final long startedAt;

	private List<String> hosts = List.of();

	private long storeContactAt;

	private long recentContactSince;

	private long updatedAt;

	/**
	 * Creates a new quorum without any store contact.
	 * @param now the current monotonic time in nanoseconds
	 */
	public StoreQuorum(long now) {
		this.startedAt = now;
		this.storeContactAt = now - OUTAGE_AGE_NANOS;
		this.recentContactSince = now;
		this.updatedAt = now;
	}

	/**
	 * Sets the other configured entry hosts.
	 * @param hosts the names of the other entry hosts
	 */
	public void configure(List<String> hosts) {
		this.hosts = List.copyOf(hosts);
	}

	/**
	 * Records a response of the store.
	 * @param sentAt the time at which the call was sent
	 */
	public void storeResponded(long sentAt) {
		this.storeContactAt = Math.max(this.storeContactAt, sentAt);
	}

	/**
	 * Records a heartbeat.
	 * @param peer the sender
	 * @param ageMillis the age of the last store contact that the heartbeat reports, or
	 * {@link #UNKNOWN_AGE_MILLIS}
	 * @param sentNotBefore the time before which it cannot have been sent, if known
	 * @param now the current time in nanoseconds
	 */
	public void heartbeatReceived(Peer peer, long ageMillis, OptionalLong sentNotBefore, long now) {
		Vote previous = this.votes.get(peer.host());
		boolean sameProcess = previous != null && previous.incarnation().equals(peer.incarnation());
		if (sentNotBefore.isEmpty()) {
			this.votes.put(peer.host(), sameProcess ? previous : Vote.undated(peer));
			return;
		}
		long sentAt = sentNotBefore.getAsLong();
		if (sameProcess && previous.dated() && previous.sentAt() - sentAt > 0) {
			return;
		}
		long age = TimeUnit.MILLISECONDS.toNanos(ageMillis);
		boolean known = ageMillis != UNKNOWN_AGE_MILLIS;
		boolean recentContact = known && age <= RECENT_CONTACT_NANOS;
		boolean continuous = sameProcess && previous.recentContact() && now - previous.sentAt() <= RESPONSIVE_NANOS;
		this.votes.put(peer.host(), new Vote(peer.incarnation(), true, sentAt, known, age, recentContact,
				continuous ? previous.recentContactSince() : now));
		if (known) {
			this.storeContactAt = Math.max(this.storeContactAt, sentAt - age);
		}
	}

	/**
	 * Updates the state to the current time; to be called before each query.
	 * @param now the current time in nanoseconds
	 */
	public void update(long now) {
		if (now - this.storeContactAt > RECENT_CONTACT_NANOS || now - this.updatedAt > RESPONSIVE_NANOS) {
			this.recentContactSince = now;
		}
		this.updatedAt = now;
	}

	/**
	 * Returns the time since the last store contact of this process or of a peer that
	 * reported one.
	 * @param now the current time in nanoseconds
	 * @return the age in milliseconds, or {@link #UNKNOWN_AGE_MILLIS}
	 */
	public long storeCallAgeMillis(long now) {
		boolean startupElapsed = now - this.startedAt > OUTAGE_AGE_NANOS;
		boolean contactSinceStart = this.storeContactAt - this.startedAt >= 0;
		return (startupElapsed || contactSinceStart) ? TimeUnit.NANOSECONDS.toMillis(now - this.storeContactAt)
				: UNKNOWN_AGE_MILLIS;
	}

	/**
	 * Returns the time until which no process can take over a share, because a majority
	 * has lost contact with the store.
	 * @param now the current time in nanoseconds
	 * @return the time, which may be in the past
	 */
	public long outageUntil(long now) {
		if (now - this.startedAt <= OUTAGE_AGE_NANOS || now - this.storeContactAt <= OUTAGE_AGE_NANOS) {
			return now;
		}
		long evidence = latestMajorityTime(matchingVotes((vote) -> vote.known() && vote.age() > OUTAGE_AGE_NANOS), now);
		return Math.min(evidence, now) + RESPONSIVE_NANOS;
	}

	/**
	 * Returns whether a majority has had contact with the store for the confirmation
	 * period, so that no process relies on an outage.
	 * @param now the current time in nanoseconds
	 * @return whether a share that was vacant in the store may be used
	 */
	public boolean isStoreConfirmed(long now) {
		update(now);
		boolean onlyHost = this.hosts.isEmpty();
		boolean localContact = now - this.recentContactSince >= CONFIRMATION_NANOS;
		Stream<Vote> others = matchingVotes(
				(vote) -> vote.recentContact() && now - vote.recentContactSince() >= CONFIRMATION_NANOS);
		return onlyHost || (localContact && now - latestMajorityTime(others, now) <= RESPONSIVE_NANOS);
	}

	/**
	 * Returns the responsive entry host that reported the most recent store contact.
	 * @param now the current time in nanoseconds
	 * @return the name of the entry host, or nothing
	 */
	public Optional<String> hostWithStoreContact(long now) {
		return this.hosts.stream()
			.filter((host) -> isResponsive(host, now) && this.votes.get(host).recentContact())
			.min(Comparator.comparing((host) -> this.votes.get(host).age()));
	}

	/**
	 * Returns whether heartbeats of an entry host are being received.
	 * @param host the name of the entry host
	 * @param now the current time in nanoseconds
	 * @return whether it is responsive
	 */
	public boolean isResponsive(String host, long now) {
		Vote vote = this.votes.get(host);
		return vote != null && vote.dated() && now - vote.sentAt() <= RESPONSIVE_NANOS;
	}

	private Stream<Vote> matchingVotes(Predicate<Vote> condition) {
		return this.hosts.stream()
			.flatMap((host) -> Stream.ofNullable(this.votes.get(host)))
			.filter((vote) -> vote.dated() && condition.test(vote));
	}

	private long latestMajorityTime(Stream<Vote> votes, long now) {
		int othersNeeded = (this.hosts.size() + 1) / 2;
		if (othersNeeded == 0) {
			return now;
		}
		return votes.map(Vote::sentAt)
			.sorted(Comparator.reverseOrder())
			.skip(othersNeeded - 1)
			.findFirst()
			.orElse(now - 2 * RESPONSIVE_NANOS);
	}

	private record Vote(String incarnation, boolean dated, long sentAt, boolean known, long age, boolean recentContact,
			long recentContactSince) {

		static Vote undated(Peer peer) {
			return new Vote(peer.incarnation(), false, 0, false, 0, false, 0);
		}

	}

}
