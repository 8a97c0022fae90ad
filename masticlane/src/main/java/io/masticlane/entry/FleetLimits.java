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
import io.masticlane.limit.LoanMessageSender;
import io.masticlane.limit.ShareLedger;
import io.masticlane.membership.Members;
import io.masticlane.message.Message;
import io.masticlane.peer.MessageRouter;
import io.masticlane.peer.Peer;
import io.masticlane.share.LeasedShares;
import io.masticlane.share.RevisionConvergence;
import io.masticlane.share.ShareManager;
import io.masticlane.share.StoreQuorum;
import io.masticlane.store.Store;

/**
 * Connects the ledger of fleet-wide limits with the leased shares that this process
 * holds. Used on the decisions thread only.
 */
final class FleetLimits {

	private final Peer self;

	private final Members members;

	private final ShareLedger ledger;

	private final StoreQuorum quorum = new StoreQuorum(System.nanoTime());

	private final LeasedShares shares;

	private final ShareManager shareManager;

	private final RevisionConvergence convergence = new RevisionConvergence();

	private long revision;

	private volatile Set<String> heldShares = Set.of();

	FleetLimits(Peer self, Members members, Store store, String prefix, Executor decisions, LoanMessageSender sender,
			EventLog events) {
		this.self = self;
		this.members = members;
		this.ledger = new ShareLedger(self.host(), new SecureRandom().nextLong(), sender);
		this.shares = new LeasedShares(self, store, prefix, decisions, System::nanoTime, sender, this.quorum);
		this.shareManager = new ShareManager(self.host(), this.shares, this.quorum, new LedgerListener(events),
				System.nanoTime());
		this.shares.registerManager(this.shareManager);
	}

	void register(MessageRouter router) {
		router.on(Message.LoanRequest.class,
				(peer, request) -> this.ledger.receive(peer.host(), request, System.nanoTime()));
		router.on(Message.LoanGrant.class, (peer, grant) -> this.ledger.receive(grant, System.nanoTime()));
		router.on(Message.LeaseRelay.class, (peer, request) -> this.shares.receive(peer.host(), request));
		router.on(Message.LeaseRelayed.class, (peer, reply) -> this.shares.receive(reply));
	}

	Limits limits() {
		return this.ledger;
	}

	// Thread-safe.
	Set<String> heldShares() {
		return this.heldShares;
	}

	void configure(Configuration configuration, long revision, long now) {
		List<String> hosts = configuration.entryHosts().stream().map(EntryHost::name).toList();
		this.revision = revision;
		this.shareManager.configure(hosts);
		this.convergence.configure(hosts.stream().filter((host) -> !host.equals(this.self.host())).toList(), now);
	}

	void heartbeatReceived(Peer peer, Message.Heartbeat heartbeat, OptionalLong sentNotBefore, long now) {
		this.quorum.heartbeatReceived(peer, heartbeat.storeCallAgeMillis(), sentNotBefore, now);
	}

	long storeCallAgeMillis(long now) {
		return this.quorum.storeCallAgeMillis(now);
	}

	void tick(long now) {
		this.shareManager.tick(now);
		if (this.convergence.isConverged(this.revision, this.shareManager.hasUnconfiguredShares(),
				(host) -> this.members.member(host, now).map((member) -> member.heartbeat().revision()), now)) {
			this.ledger.discardPreviousDivisions(this.revision, now);
		}
		this.ledger.tick(now);
	}

	private final class LedgerListener implements ShareManager.Listener {

		private final EventLog events;

		private LedgerListener(EventLog events) {
			this.events = events;
		}

		@Override
		public void sharesChanged(Set<String> hosts, long until, long now) {
			FleetLimits.this.heldShares = hosts;
			FleetLimits.this.ledger.updateShares(hosts, until, now);
		}

		@Override
		public void sharesAcquired(Set<String> hosts) {
			this.events.record(Event.SHARES_BEGUN, hosts);
		}

		@Override
		public void sharesLost(Set<String> hosts) {
			this.events.record(Event.SHARES_LOST, hosts);
		}

	}

}
