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
 * What a majority of the entry hosts knows of the store. Heartbeats are dated by their
 * echo: one that answers a heartbeat of this process was sent after it, however late it
 * is heard.
 */
public final class StoreQuorum {

	/**
	 * The age in a heartbeat of a process that cannot tell when the store was heard.
	 */
	public static final long UNKNOWN_MILLIS = -1;

	private static final long YOUNG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private static final long CONFIRMED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);

	private static final long OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_750);

	private final Map<String, Voice> voices = new HashMap<>();

	private final long startedAt;

	private List<String> hosts = List.of();

	private long storeHeardAt;

	private long youngSince;

	private long lookedAt;

	/**
	 * Creates a new quorum that knows nothing of the store.
	 * @param now the present on the monotonic clock in nanoseconds
	 */
	public StoreQuorum(long now) {
		this.startedAt = now;
		this.storeHeardAt = now - OUTAGE_NANOS;
		this.youngSince = now;
		this.lookedAt = now;
	}

	/**
	 * Takes the other configured entry hosts into account.
	 * @param hosts the names of the other entry hosts
	 */
	public void configure(List<String> hosts) {
		this.hosts = List.copyOf(hosts);
	}

	/**
	 * Receives that the store answered a call.
	 * @param sentAt the time at which the call was sent
	 */
	public void storeResponded(long sentAt) {
		this.storeHeardAt = Math.max(this.storeHeardAt, sentAt);
	}

	/**
	 * Receives a heartbeat.
	 * @param peer the sender
	 * @param ageMillis the age that the heartbeat tells
	 * @param sentNotBefore the time before which it cannot have been sent, if that is
	 * known
	 * @param now the present in nanoseconds
	 */
	public void heartbeatReceived(Peer peer, long ageMillis, OptionalLong sentNotBefore, long now) {
		Voice former = this.voices.get(peer.host());
		boolean same = former != null && former.incarnation().equals(peer.incarnation());
		if (sentNotBefore.isEmpty()) {
			this.voices.put(peer.host(), same ? former : Voice.undated(peer));
			return;
		}
		long sentAt = sentNotBefore.getAsLong();
		if (same && former.dated() && former.sentAt() - sentAt > 0) {
			return;
		}
		long age = TimeUnit.MILLISECONDS.toNanos(ageMillis);
		boolean known = ageMillis != UNKNOWN_MILLIS;
		boolean young = known && age <= YOUNG_NANOS;
		boolean unbroken = same && former.young() && now - former.sentAt() <= FRESH_NANOS;
		this.voices.put(peer.host(),
				new Voice(peer.incarnation(), true, sentAt, known, age, young, unbroken ? former.youngSince() : now));
		if (known) {
			this.storeHeardAt = Math.max(this.storeHeardAt, sentAt - age);
		}
	}

	/**
	 * Looks at the clock; to be called before each use of what the quorum knows.
	 * @param now the present in nanoseconds
	 */
	public void update(long now) {
		if (now - this.storeHeardAt > YOUNG_NANOS || now - this.lookedAt > FRESH_NANOS) {
			this.youngSince = now;
		}
		this.lookedAt = now;
	}

	/**
	 * Returns the time since this process or one that it heard of heard the store.
	 * @param now the present in nanoseconds
	 * @return the age in milliseconds, or {@link #UNKNOWN_MILLIS}
	 */
	public long storeCallAgeMillis(long now) {
		boolean started = now - this.startedAt > OUTAGE_NANOS;
		boolean heard = this.storeHeardAt - this.startedAt >= 0;
		return (started || heard) ? TimeUnit.NANOSECONDS.toMillis(now - this.storeHeardAt) : UNKNOWN_MILLIS;
	}

	/**
	 * Returns the time until which it is certain that no process takes over a share,
	 * because a majority has not heard the store.
	 * @param now the present in nanoseconds
	 * @return the time, which may be past
	 */
	public long outageUntil(long now) {
		if (now - this.startedAt <= OUTAGE_NANOS || now - this.storeHeardAt <= OUTAGE_NANOS) {
			return now;
		}
		long evidence = latest(majority((voice) -> voice.known() && voice.age() > OUTAGE_NANOS), now);
		return Math.min(evidence, now) + FRESH_NANOS;
	}

	/**
	 * Tells whether a majority has known for long enough that the store answers, so that
	 * no process relies on an outage.
	 * @param now the present in nanoseconds
	 * @return whether a share may be used that was vacant in the store
	 */
	public boolean isStoreConfirmed(long now) {
		update(now);
		boolean alone = this.hosts.isEmpty();
		boolean own = now - this.youngSince >= CONFIRMED_NANOS;
		Stream<Voice> others = majority((voice) -> voice.young() && now - voice.youngSince() >= CONFIRMED_NANOS);
		return alone || (own && now - latest(others, now) <= FRESH_NANOS);
	}

	/**
	 * Returns an entry host that hears the store.
	 * @param now the present in nanoseconds
	 * @return the name of the entry host, or nothing
	 */
	public Optional<String> hostWithStoreContact(long now) {
		return this.hosts.stream()
			.filter((host) -> isResponsive(host, now) && this.voices.get(host).young())
			.min(Comparator.comparing((host) -> this.voices.get(host).age()));
	}

	/**
	 * Tells whether an entry host is heard at present.
	 * @param host the name of the entry host
	 * @param now the present in nanoseconds
	 * @return whether it is heard
	 */
	public boolean isResponsive(String host, long now) {
		Voice voice = this.voices.get(host);
		return voice != null && voice.dated() && now - voice.sentAt() <= FRESH_NANOS;
	}

	private Stream<Voice> majority(Predicate<Voice> condition) {
		return this.hosts.stream()
			.flatMap((host) -> Stream.ofNullable(this.voices.get(host)))
			.filter((voice) -> voice.dated() && condition.test(voice));
	}

	private long latest(Stream<Voice> voices, long now) {
		int othersNeeded = (this.hosts.size() + 1) / 2;
		if (othersNeeded == 0) {
			return now;
		}
		return voices.map(Voice::sentAt)
			.sorted(Comparator.reverseOrder())
			.skip(othersNeeded - 1)
			.findFirst()
			.orElse(now - 2 * FRESH_NANOS);
	}

	private record Voice(String incarnation, boolean dated, long sentAt, boolean known, long age, boolean young,
			long youngSince) {

		static Voice undated(Peer peer) {
			return new Voice(peer.incarnation(), false, 0, false, 0, false, 0);
		}

	}

}
