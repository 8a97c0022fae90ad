package io.masticlane.entry;

import java.security.SecureRandom;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.EntryHost;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.limit.Limits;
import io.masticlane.limit.LoanSender;
import io.masticlane.limit.ShareLedger;
import io.masticlane.membership.Members;
import io.masticlane.message.Message;
import io.masticlane.peer.MessageRouter;
import io.masticlane.peer.Peer;
import io.masticlane.share.LeasedShares;
import io.masticlane.share.Settlement;
import io.masticlane.share.ShareKeeper;
import io.masticlane.share.StoreQuorum;
import io.masticlane.store.Store;

/**
 * Joins the ledger of fleet-wide limits with the shares that this process holds. Used on
 * the decisions' thread alone.
 */
final class FleetLimits {

	private final Peer self;

	private final Members members;

	private final ShareLedger ledger;

	private final StoreQuorum quorum = new StoreQuorum(System.nanoTime());

	private final LeasedShares shares;

	private final ShareKeeper keeper;

	private final Settlement settlement = new Settlement();

	private long revision;

	private volatile Set<String> held = Set.of();

	FleetLimits(Peer self, Members members, Store store, String prefix, Executor decisions, LoanSender sender,
			EventLog events) {
		this.self = self;
		this.members = members;
		this.ledger = new ShareLedger(self.host(), new SecureRandom().nextLong(), sender);
		this.shares = new LeasedShares(self, store, prefix, decisions, System::nanoTime, sender, this.quorum);
		this.keeper = new ShareKeeper(self.host(), this.shares, this.quorum, new LedgerListener(events),
				System.nanoTime());
		this.shares.answerTo(this.keeper);
	}

	void register(MessageRouter router) {
		router.on(Message.LoanRequest.class,
				(peer, request) -> this.ledger.hear(peer.host(), request, System.nanoTime()));
		router.on(Message.LoanGrant.class, (peer, grant) -> this.ledger.hear(grant, System.nanoTime()));
		router.on(Message.LeaseRelay.class, (peer, request) -> this.shares.hear(peer.host(), request));
		router.on(Message.LeaseRelayed.class, (peer, answer) -> this.shares.hear(answer));
	}

	Limits limits() {
		return this.ledger;
	}

	// May be called on any thread.
	Set<String> held() {
		return this.held;
	}

	void configure(Configuration configuration, long revision, long now) {
		List<String> hosts = configuration.entryHosts().stream().map(EntryHost::name).toList();
		this.revision = revision;
		this.keeper.configure(hosts);
		this.settlement.configure(hosts.stream().filter((host) -> !host.equals(this.self.host())).toList(), now);
	}

	void heard(Peer peer, Message.Heartbeat heartbeat, OptionalLong sentNotBefore, long now) {
		this.quorum.heard(peer, heartbeat.storeCallAgeMillis(), sentNotBefore, now);
	}

	long storeCallAgeMillis(long now) {
		return this.quorum.storeCallAgeMillis(now);
	}

	void tick(long now) {
		this.keeper.tick(now);
		if (this.settlement.settled(this.revision, this.keeper.removedShares(),
				(host) -> this.members.member(host, now).map((member) -> member.heartbeat().revision()), now)) {
			this.ledger.settle(this.revision, now);
		}
		this.ledger.tick(now);
	}

	private final class LedgerListener implements ShareKeeper.Listener {

		private final EventLog events;

		private LedgerListener(EventLog events) {
			this.events = events;
		}

		@Override
		public void hold(Set<String> hosts, long until, long now) {
			FleetLimits.this.held = hosts;
			FleetLimits.this.ledger.hold(hosts, until, now);
		}

		@Override
		public void begun(Set<String> hosts) {
			this.events.record(Event.SHARES_BEGUN, hosts);
		}

		@Override
		public void lost(Set<String> hosts) {
			this.events.record(Event.SHARES_LOST, hosts);
		}

	}

}
