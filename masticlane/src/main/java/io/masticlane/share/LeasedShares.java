package io.masticlane.share;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.masticlane.limit.LoanMessageSender;
import io.masticlane.message.Message;
import io.masticlane.peer.Peer;
import io.masticlane.store.Store;

/**
 * Stores shares as keys in the platform's store, each bound to the lease of its holder.
 */
public final class LeasedShares implements ShareStore {

	private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final String HELD_PREFIX = "held/";

	private static final String WANTED_PREFIX = "wanted/";

	private final Peer self;

	private final Store store;

	private final String prefix;

	private final Executor decisions;

	private final LongSupplier clock;

	private final LoanMessageSender sender;

	private final StoreQuorum quorum;

	private final Map<String, Long> pendingCalls = new HashMap<>();

	private final Map<Long, Relay> relays = new HashMap<>();

	private ShareManager manager;

	private long lease = Store.NO_LEASE;

	private long lastRelayIdentifier;

	/**
	 * Creates new leased shares that hold no lease.
	 * @param self this process
	 * @param store the platform's store
	 * @param prefix the prefix of every key
	 * @param decisions the executor that handles the responses of the store
	 * @param clock the monotonic clock in nanoseconds
	 * @param sender the sender of messages to peers
	 * @param quorum the quorum that is notified of responses of the store
	 */
	public LeasedShares(Peer self, Store store, String prefix, Executor decisions, LongSupplier clock,
			LoanMessageSender sender, StoreQuorum quorum) {
		this.self = self;
		this.store = store;
		this.prefix = prefix + "shares/";
		this.decisions = decisions;
		this.clock = clock;
		this.sender = sender;
		this.quorum = quorum;
	}

	/**
	 * Registers the manager that receives the results of all calls.
	 * @param manager the manager
	 */
	public void registerManager(ShareManager manager) {
		this.manager = manager;
	}

	@Override
	public boolean hasLease() {
		return this.lease != Store.NO_LEASE;
	}

	@Override
	public void renewOrRequestLease(long now) {
		long renewedLease = this.lease;
		if (renewedLease == Store.NO_LEASE) {
			call("lease", now, () -> this.store.grantLease(LEASE_SECONDS), (granted) -> {
				this.lease = granted;
				this.manager.leaseGranted(now, this.clock.getAsLong());
			});
		}
		else {
			call("lease", now, () -> this.store.renewLease(renewedLease),
					(renewed) -> renewalCompleted(renewedLease, renewed, now));
		}
	}

	@Override
	public void listKeys(long now) {
		call("list", now, () -> this.store.list(this.prefix), (entries) -> this.manager
			.keysListed(entries.stream().map(this::toKey).toList(), now, this.clock.getAsLong()));
	}

	@Override
	public void relayRenewal(String host, long now) {
		this.relays.values().removeIf((relay) -> now - relay.sentAt() > RESPONSE_TIMEOUT_NANOS);
		this.relays.put(++this.lastRelayIdentifier, new Relay(this.lease, now));
		this.sender.send(host, new Message.LeaseRelay(this.lastRelayIdentifier, this.lease));
	}

	@Override
	public void createKey(String host, long now) {
		long leaseAtCall = this.lease;
		if (leaseAtCall == Store.NO_LEASE) {
			return;
		}
		call(HELD_PREFIX + host, now, () -> this.store.compareAndSet(this.prefix + HELD_PREFIX + host, Store.ABSENT,
				holderValue(), leaseAtCall), (result) -> {
					if (result.succeeded() && leaseAtCall == this.lease) {
						this.manager.keyCreated(host, result.revision(), this.clock.getAsLong());
					}
				});
	}

	@Override
	public void requestReturn(String host) {
		if (!hasLease()) {
			return;
		}
		call(WANTED_PREFIX + host, this.clock.getAsLong(), () -> this.store
			.compareAndSet(this.prefix + WANTED_PREFIX + host, Store.ABSENT, holderValue(), this.lease), (result) -> {
			});
	}

	@Override
	public void deleteKey(String host, long revision) {
		call("delete/" + host, this.clock.getAsLong(),
				() -> this.store.compareAndDelete(this.prefix + HELD_PREFIX + host, revision),
				(deleted) -> this.manager.keyDeleted(host, this.clock.getAsLong()));
	}

	/**
	 * Renews the lease of a peer that cannot reach the store.
	 * @param host the name of the peer's entry host
	 * @param request the peer's request
	 */
	public void receive(String host, Message.LeaseRelay request) {
		call("relay/" + host, this.clock.getAsLong(), () -> this.store.renewLease(request.lease()),
				(renewed) -> this.sender.send(host, new Message.LeaseRelayed(request.relay(), renewed)));
	}

	/**
	 * Receives a peer's reply about the renewal of the lease.
	 * @param reply the reply
	 */
	public void receive(Message.LeaseRelayed reply) {
		Relay relay = this.relays.remove(reply.relay());
		if (relay != null) {
			renewalCompleted(relay.lease(), reply.renewed(), relay.sentAt());
		}
	}

	private void renewalCompleted(long renewedLease, boolean renewed, long sentAt) {
		if (renewedLease != this.lease) {
			return;
		}
		if (renewed) {
			this.manager.leaseRenewed(sentAt, this.clock.getAsLong());
		}
		else {
			this.lease = Store.NO_LEASE;
			this.manager.leaseLost(this.clock.getAsLong());
		}
	}

	private <T> void call(String name, long now, Supplier<CompletableFuture<T>> call, Consumer<T> onSuccess) {
		Long pendingSince = this.pendingCalls.get(name);
		if (pendingSince != null && now - pendingSince < RESPONSE_TIMEOUT_NANOS) {
			return;
		}
		this.pendingCalls.put(name, now);
		call.get().whenComplete((response, failure) -> this.decisions.execute(() -> {
			this.pendingCalls.remove(name, now);
			if (failure == null) {
				this.quorum.storeResponded(now);
				onSuccess.accept(response);
			}
		}));
	}

	private byte[] holderValue() {
		return (this.self.incarnation() + " " + this.lease).getBytes(StandardCharsets.UTF_8);
	}

	private Key toKey(Store.Entry entry) {
		String name = entry.key().substring(this.prefix.length());
		boolean wanted = name.startsWith(WANTED_PREFIX);
		boolean local = new String(entry.value(), StandardCharsets.UTF_8)
			.equals(this.self.incarnation() + " " + this.lease);
		return new Key(name.substring((wanted ? WANTED_PREFIX : HELD_PREFIX).length()), wanted, local,
				entry.revision());
	}

	private record Relay(long lease, long sentAt) {
	}

}
