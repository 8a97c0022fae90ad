package io.masticlane.share;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Keeps the shares that this process may use: its own host's, and those it takes over
 * from hosts that died. Each share is a key in the store under the lease of its holder.
 * Used on the decisions' thread alone; time comes with each call.
 */
public final class ShareManager {

	private static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(ShareStore.LEASE_SECONDS * 980);

	private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private static final long VACANT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

	private static final long HAND_BACK_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);

	private final String self;

	private final ShareStore store;

	private final StoreQuorum quorum;

	private final Listener listener;

	private final Map<String, Long> confirmed = new HashMap<>();

	private final Map<String, Long> vacantSince = new HashMap<>();

	private final Map<String, HandBack> handBacks = new HashMap<>();

	private final Set<String> usable = new HashSet<>();

	private List<String> hosts = List.of();

	private Optional<Set<String>> heldInStore = Optional.empty();

	private long usableUntil;

	private long leaseUntil;

	private long nextCall;

	private long lastChange;

	/**
	 * Creates a new keeper that holds no share.
	 * @param self the name of this entry host
	 * @param store the shares in the store
	 * @param quorum what a majority knows of the store
	 * @param listener the receiver of changes
	 * @param now the present in nanoseconds
	 */
	public ShareManager(String self, ShareStore store, StoreQuorum quorum, Listener listener, long now) {
		this.self = self;
		this.store = store;
		this.quorum = quorum;
		this.listener = listener;
		this.usableUntil = now;
		this.leaseUntil = now;
		this.nextCall = now;
		this.lastChange = now;
	}

	/**
	 * Takes the configured entry hosts into account.
	 * @param hosts the names of the entry hosts
	 */
	public void configure(List<String> hosts) {
		this.hosts = hosts.stream().sorted().toList();
		this.quorum.configure(hosts.stream().filter((host) -> !host.equals(this.self)).toList());
		this.usable.retainAll(hosts);
	}

	/**
	 * Calls the store where due and brings the use of shares up to the present.
	 * @param now the present in nanoseconds
	 */
	public void tick(long now) {
		this.quorum.update(now);
		revise(now);
		if (now - this.nextCall >= 0 && !this.hosts.isEmpty()) {
			this.nextCall = now + (this.store.hasLease() ? INTERVAL_NANOS : RETRY_NANOS);
			callStore(now);
		}
	}

	/**
	 * Receives that the lease was granted or renewed.
	 * @param sentAt the time at which the call was sent
	 * @param now the present in nanoseconds
	 */
	public void leaseRenewed(long sentAt, long now) {
		revise(now);
		this.leaseUntil = Math.max(this.leaseUntil, sentAt + LEASE_NANOS);
		revise(now);
	}

	/**
	 * Receives that a new lease was granted.
	 * @param sentAt the time at which the call was sent
	 * @param now the present in nanoseconds
	 */
	public void leaseGranted(long sentAt, long now) {
		this.nextCall = now;
		leaseRenewed(sentAt, now);
	}

	/**
	 * Receives that the store does not know the lease any more.
	 * @param now the present in nanoseconds
	 */
	public void leaseLost(long now) {
		revise(now);
		this.leaseUntil = now;
		this.confirmed.clear();
		this.lastChange = now;
		this.nextCall = now;
	}

	/**
	 * Receives that a key was created under the present lease.
	 * @param host the name of the entry host whose share the key is
	 * @param revision the revision of the key
	 * @param now the present in nanoseconds
	 */
	public void keyCreated(String host, long revision, long now) {
		this.lastChange = now;
		if (!this.handBacks.containsKey(host)) {
			this.confirmed.put(host, revision);
		}
		revise(now);
	}

	/**
	 * Receives that a key was handed back.
	 * @param host the name of the entry host whose share the key is
	 * @param now the present in nanoseconds
	 */
	public void keyDeleted(String host, long now) {
		this.lastChange = now;
		this.handBacks.remove(host);
	}

	/**
	 * Receives the keys of all shares.
	 * @param keys the keys
	 * @param sentAt the time at which the call was sent
	 * @param now the present in nanoseconds
	 */
	public void keysListed(List<ShareStore.Key> keys, long sentAt, long now) {
		if (sentAt - this.lastChange <= 0) {
			return;
		}
		revise(now);
		this.heldInStore = Optional.of(keys.stream()
			.filter((key) -> !key.wanted())
			.map(ShareStore.Key::host)
			.collect(Collectors.toUnmodifiableSet()));
		this.confirmed.clear();
		keys.stream()
			.filter((key) -> key.local() && !key.wanted() && !this.handBacks.containsKey(key.host()))
			.forEach((key) -> this.confirmed.put(key.host(), key.revision()));
		keys.stream().filter((key) -> !key.local() && !key.wanted()).forEach((key) -> this.usable.remove(key.host()));
		revise(now);
		this.hosts.forEach((host) -> decide(host, keys, sentAt, now));
		List.copyOf(this.confirmed.keySet())
			.stream()
			.filter((host) -> !this.hosts.contains(host))
			.forEach((host) -> handBack(host, now));
	}

	/**
	 * Returns the names of the entry hosts whose shares may be used.
	 * @return the names
	 */
	public Set<String> usableShares() {
		return Set.copyOf(this.usable);
	}

	/**
	 * Tells whether a share may be in use of an entry host that is not configured any
	 * more.
	 * @return whether such a share may be in use
	 */
	public boolean hasUnconfiguredShares() {
		return this.heldInStore.map((held) -> !this.hosts.containsAll(held)).orElse(true);
	}

	private void decide(String host, List<ShareStore.Key> keys, long sentAt, long now) {
		Optional<ShareStore.Key> holder = keys.stream().filter((key) -> key.holds(host)).findFirst();
		boolean wanted = keys.stream().anyMatch((key) -> key.wanted() && key.host().equals(host) && !key.local());
		boolean own = host.equals(this.self);
		if (holder.isPresent()) {
			this.vacantSince.remove(host);
		}
		else {
			this.vacantSince.putIfAbsent(host, sentAt);
		}
		if (holder.isEmpty() && (own || this.usable.contains(host) || heir(host, sentAt, now))) {
			this.store.createKey(host, now);
		}
		else if (own && !this.confirmed.containsKey(host) && holder.isPresent()) {
			this.store.requestReturn(host);
		}
		else if (!own && wanted && this.confirmed.containsKey(host)) {
			handBack(host, now);
		}
	}

	private boolean heir(String host, long sentAt, long now) {
		if (sentAt - this.vacantSince.get(host) < VACANT_NANOS || this.quorum.isResponsive(host, now)) {
			return false;
		}
		int index = this.hosts.indexOf(host);
		List<String> next = new ArrayList<>(this.hosts.subList(index + 1, this.hosts.size()));
		next.addAll(this.hosts.subList(0, index));
		return next.stream()
			.filter((each) -> each.equals(this.self) || this.quorum.isResponsive(each, now))
			.findFirst()
			.filter(this.self::equals)
			.isPresent();
	}

	private void handBack(String host, long now) {
		this.usable.remove(host);
		this.handBacks.put(host, new HandBack(this.confirmed.remove(host), now + HAND_BACK_NANOS));
		revise(now);
	}

	private void callStore(long now) {
		this.store.renewOrRequestLease(now);
		this.store.listKeys(now);
		boolean unanswered = this.leaseUntil - now < LEASE_NANOS - 2 * INTERVAL_NANOS;
		if (unanswered && this.store.hasLease()) {
			this.quorum.hostWithStoreContact(now).ifPresent((host) -> this.store.relayRenewal(host, now));
		}
		this.handBacks.forEach((host, handBack) -> {
			if (now - handBack.at() >= 0) {
				this.store.deleteKey(host, handBack.revision());
			}
		});
		if (this.store.hasLease()) {
			this.usable.stream()
				.filter((host) -> !this.confirmed.containsKey(host))
				.forEach((host) -> this.store.createKey(host, now));
		}
	}

	private void revise(long now) {
		if (!this.usable.isEmpty() && now - this.usableUntil >= 0) {
			this.listener.sharesLost(Set.copyOf(this.usable));
			this.usable.clear();
		}
		if (!this.usable.isEmpty()) {
			this.usableUntil = Math.max(this.usableUntil, this.quorum.outageUntil(now));
			if (this.confirmed.keySet().containsAll(this.usable)) {
				this.usableUntil = Math.max(this.usableUntil, this.leaseUntil);
			}
		}
		begin(now);
		this.listener.sharesChanged(Set.copyOf(this.usable), this.usableUntil, now);
	}

	private void begin(long now) {
		List<String> vacant = this.confirmed.keySet()
			.stream()
			.filter((host) -> !this.usable.contains(host) && !this.handBacks.containsKey(host))
			.filter(this.hosts::contains)
			.toList();
		boolean covered = this.usable.isEmpty()
				|| (this.confirmed.keySet().containsAll(this.usable) && this.usableUntil - this.leaseUntil <= 0);
		if (!vacant.isEmpty() && covered && this.leaseUntil - now > 0 && this.quorum.isStoreConfirmed(now)) {
			this.usable.addAll(vacant);
			this.usableUntil = this.leaseUntil;
			this.listener.sharesAcquired(Set.copyOf(vacant));
		}
	}

	private record HandBack(long revision, long at) {
	}

	/**
	 * Receives changes of the shares that may be used.
	 */
	public interface Listener {

		/**
		 * Receives the shares that may be used.
		 * @param hosts the names of the entry hosts whose shares may be used
		 * @param until the end of their use in nanoseconds
		 * @param now the present in nanoseconds
		 */
		void sharesChanged(Set<String> hosts, long until, long now);

		/**
		 * Receives that shares may be used from now on.
		 * @param hosts the names of the entry hosts whose shares they are
		 */
		void sharesAcquired(Set<String> hosts);

		/**
		 * Receives that shares may not be used any more.
		 * @param hosts the names of the entry hosts whose shares they are
		 */
		void sharesLost(Set<String> hosts);

	}

}
