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
 * Manages the shares that this process may use: the one of its own entry host and those
 * that it takes over from failed hosts. Each share is a key in the store that is bound to
 * the lease of its holder. Used on the decisions thread only; each call passes the
 * current time.
 */
public final class ShareManager {

	private static final long USABLE_LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(ShareStore.LEASE_SECONDS * 980);

	private static final long CALL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private static final long MINIMUM_VACANCY_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

	private static final long RETURN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);

	private final String self;

	private final ShareStore store;

	private final StoreQuorum quorum;

	private final Listener listener;

	private final Map<String, Long> confirmedRevisions = new HashMap<>();

	private final Map<String, Long> vacantSince = new HashMap<>();

	private final Map<String, PendingReturn> pendingReturns = new HashMap<>();

	private final Set<String> usable = new HashSet<>();

	private List<String> hosts = List.of();

	private Optional<Set<String>> heldInStore = Optional.empty();

	private long usableUntil;

	private long leaseUntil;

	private long nextCallAt;

	private long lastChangeAt;

	/**
	 * Creates a new manager that holds no share.
	 * @param self the name of this entry host
	 * @param store the shares in the store
	 * @param quorum the majority's view of the store
	 * @param listener the listener to changes
	 * @param now the current time in nanoseconds
	 */
	public ShareManager(String self, ShareStore store, StoreQuorum quorum, Listener listener, long now) {
		this.self = self;
		this.store = store;
		this.quorum = quorum;
		this.listener = listener;
		this.usableUntil = now;
		this.leaseUntil = now;
		this.nextCallAt = now;
		this.lastChangeAt = now;
	}

	/**
	 * Sets the configured entry hosts.
	 * @param hosts the names of the entry hosts
	 */
	public void configure(List<String> hosts) {
		this.hosts = hosts.stream().sorted().toList();
		this.quorum.configure(hosts.stream().filter((host) -> !host.equals(this.self)).toList());
		this.usable.retainAll(hosts);
	}

	/**
	 * Updates the usable shares and calls the store if a call is due.
	 * @param now the current time in nanoseconds
	 */
	public void tick(long now) {
		this.quorum.update(now);
		updateUsable(now);
		if (now - this.nextCallAt >= 0 && !this.hosts.isEmpty()) {
			this.nextCallAt = now + (this.store.hasLease() ? CALL_INTERVAL_NANOS : RETRY_INTERVAL_NANOS);
			callStore(now);
		}
	}

	/**
	 * Handles a granted or renewed lease.
	 * @param sentAt the time at which the call was sent
	 * @param now the current time in nanoseconds
	 */
	public void leaseRenewed(long sentAt, long now) {
		updateUsable(now);
		this.leaseUntil = Math.max(this.leaseUntil, sentAt + USABLE_LEASE_NANOS);
		updateUsable(now);
	}

	/**
	 * Handles a newly granted lease.
	 * @param sentAt the time at which the call was sent
	 * @param now the current time in nanoseconds
	 */
	public void leaseGranted(long sentAt, long now) {
		this.nextCallAt = now;
		leaseRenewed(sentAt, now);
	}

	/**
	 * Handles the loss of the lease in the store.
	 * @param now the current time in nanoseconds
	 */
	public void leaseLost(long now) {
		updateUsable(now);
		this.leaseUntil = now;
		this.confirmedRevisions.clear();
		this.lastChangeAt = now;
		this.nextCallAt = now;
	}

	/**
	 * Handles a key that was created under the current lease.
	 * @param host the name of the entry host that owns the share
	 * @param revision the revision of the key
	 * @param now the current time in nanoseconds
	 */
	public void keyCreated(String host, long revision, long now) {
		this.lastChangeAt = now;
		if (!this.pendingReturns.containsKey(host)) {
			this.confirmedRevisions.put(host, revision);
		}
		updateUsable(now);
	}

	/**
	 * Handles the deletion of a returned key.
	 * @param host the name of the entry host that owns the share
	 * @param now the current time in nanoseconds
	 */
	public void keyDeleted(String host, long now) {
		this.lastChangeAt = now;
		this.pendingReturns.remove(host);
	}

	/**
	 * Handles the listed keys of all shares.
	 * @param keys the keys
	 * @param sentAt the time at which the call was sent
	 * @param now the current time in nanoseconds
	 */
	public void keysListed(List<ShareStore.Key> keys, long sentAt, long now) {
		if (sentAt - this.lastChangeAt <= 0) {
			return;
		}
		updateUsable(now);
		this.heldInStore = Optional.of(keys.stream()
			.filter((key) -> !key.wanted())
			.map(ShareStore.Key::host)
			.collect(Collectors.toUnmodifiableSet()));
		this.confirmedRevisions.clear();
		keys.stream()
			.filter((key) -> key.local() && !key.wanted() && !this.pendingReturns.containsKey(key.host()))
			.forEach((key) -> this.confirmedRevisions.put(key.host(), key.revision()));
		keys.stream().filter((key) -> !key.local() && !key.wanted()).forEach((key) -> this.usable.remove(key.host()));
		updateUsable(now);
		this.hosts.forEach((host) -> reviewShare(host, keys, sentAt, now));
		List.copyOf(this.confirmedRevisions.keySet())
			.stream()
			.filter((host) -> !this.hosts.contains(host))
			.forEach((host) -> returnShare(host, now));
	}

	/**
	 * Returns the names of the entry hosts whose shares may be used.
	 * @return the names
	 */
	public Set<String> usableShares() {
		return Set.copyOf(this.usable);
	}

	/**
	 * Returns whether a share of an entry host that is no longer configured may be in
	 * use.
	 * @return whether such a share may be in use
	 */
	public boolean hasUnconfiguredShares() {
		return this.heldInStore.map((held) -> !this.hosts.containsAll(held)).orElse(true);
	}

	private void reviewShare(String host, List<ShareStore.Key> keys, long sentAt, long now) {
		Optional<ShareStore.Key> holder = keys.stream().filter((key) -> key.holds(host)).findFirst();
		boolean wanted = keys.stream().anyMatch((key) -> key.wanted() && key.host().equals(host) && !key.local());
		boolean local = host.equals(this.self);
		if (holder.isPresent()) {
			this.vacantSince.remove(host);
		}
		else {
			this.vacantSince.putIfAbsent(host, sentAt);
		}
		if (holder.isEmpty() && (local || this.usable.contains(host) || isSuccessor(host, sentAt, now))) {
			this.store.createKey(host, now);
		}
		else if (local && !this.confirmedRevisions.containsKey(host) && holder.isPresent()) {
			this.store.requestReturn(host);
		}
		else if (!local && wanted && this.confirmedRevisions.containsKey(host)) {
			returnShare(host, now);
		}
	}

	private boolean isSuccessor(String host, long sentAt, long now) {
		if (sentAt - this.vacantSince.get(host) < MINIMUM_VACANCY_NANOS || this.quorum.isResponsive(host, now)) {
			return false;
		}
		int index = this.hosts.indexOf(host);
		List<String> successors = new ArrayList<>(this.hosts.subList(index + 1, this.hosts.size()));
		successors.addAll(this.hosts.subList(0, index));
		return successors.stream()
			.filter((each) -> each.equals(this.self) || this.quorum.isResponsive(each, now))
			.findFirst()
			.filter(this.self::equals)
			.isPresent();
	}

	private void returnShare(String host, long now) {
		this.usable.remove(host);
		this.pendingReturns.put(host,
				new PendingReturn(this.confirmedRevisions.remove(host), now + RETURN_DELAY_NANOS));
		updateUsable(now);
	}

	private void callStore(long now) {
		this.store.renewOrRequestLease(now);
		this.store.listKeys(now);
		boolean renewalOverdue = this.leaseUntil - now < USABLE_LEASE_NANOS - 2 * CALL_INTERVAL_NANOS;
		if (renewalOverdue && this.store.hasLease()) {
			this.quorum.hostWithStoreContact(now).ifPresent((host) -> this.store.relayRenewal(host, now));
		}
		this.pendingReturns.forEach((host, pending) -> {
			if (now - pending.deleteAt() >= 0) {
				this.store.deleteKey(host, pending.revision());
			}
		});
		if (this.store.hasLease()) {
			this.usable.stream()
				.filter((host) -> !this.confirmedRevisions.containsKey(host))
				.forEach((host) -> this.store.createKey(host, now));
		}
	}

	private void updateUsable(long now) {
		if (!this.usable.isEmpty() && now - this.usableUntil >= 0) {
			this.listener.sharesLost(Set.copyOf(this.usable));
			this.usable.clear();
		}
		if (!this.usable.isEmpty()) {
			this.usableUntil = Math.max(this.usableUntil, this.quorum.outageUntil(now));
			if (this.confirmedRevisions.keySet().containsAll(this.usable)) {
				this.usableUntil = Math.max(this.usableUntil, this.leaseUntil);
			}
		}
		acquireConfirmed(now);
		this.listener.sharesChanged(Set.copyOf(this.usable), this.usableUntil, now);
	}

	private void acquireConfirmed(long now) {
		List<String> newlyConfirmed = this.confirmedRevisions.keySet()
			.stream()
			.filter((host) -> !this.usable.contains(host) && !this.pendingReturns.containsKey(host))
			.filter(this.hosts::contains)
			.toList();
		boolean coveredByLease = this.usable.isEmpty() || (this.confirmedRevisions.keySet().containsAll(this.usable)
				&& this.usableUntil - this.leaseUntil <= 0);
		if (!newlyConfirmed.isEmpty() && coveredByLease && this.leaseUntil - now > 0
				&& this.quorum.isStoreConfirmed(now)) {
			this.usable.addAll(newlyConfirmed);
			this.usableUntil = this.leaseUntil;
			this.listener.sharesAcquired(Set.copyOf(newlyConfirmed));
		}
	}

	private record PendingReturn(long revision, long deleteAt) {
	}

	/**
	 * A listener to changes of the usable shares.
	 */
	public interface Listener {

		/**
		 * Called with the usable shares after each update.
		 * @param hosts the names of the entry hosts whose shares may be used
		 * @param until the time in nanoseconds at which their use ends
		 * @param now the current time in nanoseconds
		 */
		void sharesChanged(Set<String> hosts, long until, long now);

		/**
		 * Called when shares become usable.
		 * @param hosts the names of the entry hosts that own the shares
		 */
		void sharesAcquired(Set<String> hosts);

		/**
		 * Called when shares are no longer usable.
		 * @param hosts the names of the entry hosts that own the shares
		 */
		void sharesLost(Set<String> hosts);

	}

}
