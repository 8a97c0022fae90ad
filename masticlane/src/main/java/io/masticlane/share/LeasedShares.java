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
 * Keeps shares as keys in the platform's store, each under the lease of its holder.
 */
public final class LeasedShares implements ShareStore {

	private static final long NO_ANSWER_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final String HELD = "held/";

	private static final String WANTED = "wanted/";

	private final Peer self;

	private final Store store;

	private final String prefix;

	private final Executor decisions;

	private final LongSupplier clock;

	private final LoanMessageSender sender;

	private final StoreQuorum quorum;

	private final Map<String, Long> waiting = new HashMap<>();

	private final Map<Long, Relay> relays = new HashMap<>();

	private ShareManager keeper;

	private long lease = Store.NO_LEASE;

	private long lastRelay;

	/**
	 * Creates new shares.
	 * @param self this process
	 * @param store the platform's store
	 * @param prefix the prefix of every key
	 * @param decisions the executor of what answers lead to
	 * @param clock the monotonic clock in nanoseconds
	 * @param sender the sender of messages to peers
	 * @param quorum receives whether the store answers
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
	 * Hands all answers to a keeper.
	 * @param keeper the keeper
	 */
	public void registerManager(ShareManager keeper) {
		this.keeper = keeper;
	}

	@Override
	public boolean hasLease() {
		return this.lease != Store.NO_LEASE;
	}

	@Override
	public void renewOrRequestLease(long now) {
		long asked = this.lease;
		if (asked == Store.NO_LEASE) {
			call("lease", now, () -> this.store.grantLease(LEASE_SECONDS), (granted) -> {
				this.lease = granted;
				this.keeper.leaseGranted(now, this.clock.getAsLong());
			});
		}
		else {
			call("lease", now, () -> this.store.renewLease(asked), (alive) -> renewed(asked, alive, now));
		}
	}

	@Override
	public void listKeys(long now) {
		call("list", now, () -> this.store.list(this.prefix), (entries) -> this.keeper
			.keysListed(entries.stream().map(this::key).toList(), now, this.clock.getAsLong()));
	}

	@Override
	public void relayRenewal(String host, long now) {
		this.relays.values().removeIf((relay) -> now - relay.sentAt() > NO_ANSWER_NANOS);
		this.relays.put(++this.lastRelay, new Relay(this.lease, now));
		this.sender.send(host, new Message.LeaseRelay(this.lastRelay, this.lease));
	}

	@Override
	public void createKey(String host, long now) {
		long under = this.lease;
		if (under == Store.NO_LEASE) {
			return;
		}
		call(HELD + host, now, () -> this.store.compareAndSet(this.prefix + HELD + host, Store.ABSENT, value(), under),
				(result) -> {
					if (result.succeeded() && under == this.lease) {
						this.keeper.keyCreated(host, result.revision(), this.clock.getAsLong());
					}
				});
	}

	@Override
	public void requestReturn(String host) {
		if (!hasLease()) {
			return;
		}
		call(WANTED + host, this.clock.getAsLong(),
				() -> this.store.compareAndSet(this.prefix + WANTED + host, Store.ABSENT, value(), this.lease),
				(result) -> {
				});
	}

	@Override
	public void deleteKey(String host, long revision) {
		call("delete/" + host, this.clock.getAsLong(),
				() -> this.store.compareAndDelete(this.prefix + HELD + host, revision),
				(deleted) -> this.keeper.keyDeleted(host, this.clock.getAsLong()));
	}

	/**
	 * Renews the lease of a peer that does not hear the store.
	 * @param host the name of the peer's entry host
	 * @param request the peer's request
	 */
	public void receive(String host, Message.LeaseRelay request) {
		call("relay/" + host, this.clock.getAsLong(), () -> this.store.renewLease(request.lease()),
				(alive) -> this.sender.send(host, new Message.LeaseRelayed(request.relay(), alive)));
	}

	/**
	 * Receives whether a peer renewed the lease.
	 * @param answer the answer
	 */
	public void receive(Message.LeaseRelayed answer) {
		Relay relay = this.relays.remove(answer.relay());
		if (relay != null) {
			renewed(relay.lease(), answer.renewed(), relay.sentAt());
		}
	}

	private void renewed(long asked, boolean alive, long sentAt) {
		if (asked != this.lease) {
			return;
		}
		if (alive) {
			this.keeper.leaseRenewed(sentAt, this.clock.getAsLong());
		}
		else {
			this.lease = Store.NO_LEASE;
			this.keeper.leaseLost(this.clock.getAsLong());
		}
	}

	private <T> void call(String name, long now, Supplier<CompletableFuture<T>> call, Consumer<T> answered) {
		Long since = this.waiting.get(name);
		if (since != null && now - since < NO_ANSWER_NANOS) {
			return;
		}
		this.waiting.put(name, now);
		call.get().whenComplete((answer, failure) -> this.decisions.execute(() -> {
			this.waiting.remove(name, now);
			if (failure == null) {
				this.quorum.storeResponded(now);
				answered.accept(answer);
			}
		}));
	}

	private byte[] value() {
		return (this.self.incarnation() + " " + this.lease).getBytes(StandardCharsets.UTF_8);
	}

	private Key key(Store.Entry entry) {
		String name = entry.key().substring(this.prefix.length());
		boolean wanted = name.startsWith(WANTED);
		boolean mine = new String(entry.value(), StandardCharsets.UTF_8)
			.equals(this.self.incarnation() + " " + this.lease);
		return new Key(name.substring((wanted ? WANTED : HELD).length()), wanted, mine, entry.revision());
	}

	private record Relay(long lease, long sentAt) {
	}

}
