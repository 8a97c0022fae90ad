package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.masticlane.event.Event;
import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayFleet;
import io.masticlane.fleet.OutdatedPlan;
import io.masticlane.fleet.ReceivedReport;
import io.masticlane.fleet.RelayTopology;
import io.masticlane.fleet.ReportBundle;
import io.masticlane.message.MalformedMessageException;
import io.masticlane.message.Message;
import io.masticlane.peer.Peer;
import io.masticlane.peer.PeerListener;
import io.masticlane.peer.PeerNetwork;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;

/**
 * Exchanges reports with the other gateways, directly or over relays. A gateway that is
 * disconnected from the store receives newer plans and evacuations this way.
 */
final class PeerReports implements PeerListener {

	/**
	 * One out of this number of reports contains all counts, for gateways that joined in
	 * between.
	 */
	private static final int FULL_REPORT_INTERVAL = 10;

	/**
	 * The same with relays, where each report is forwarded to the whole fleet. A gateway
	 * that joined in between only misses the first count of an organisation.
	 */
	private static final int RELAYED_FULL_REPORT_INTERVAL = 60;

	private static final int SCOPE_SENDER = 0;

	private static final int SCOPE_REGION = 1;

	private static final int SCOPE_FLEET = 2;

	private final GatewayContext gateway;

	private final GatewayFleet fleet;

	private final GatewayView view;

	private final StoreFollower store;

	private final ViewFreshness freshness;

	private final Peer self;

	private final Supplier<Gateway> description;

	private final PeerNetwork network;

	private final RelayTopology topology;

	private final ReportRelay relay = new ReportRelay();

	private final StoreRelay storeRelay;

	private RelayTopology.Links links = new RelayTopology.Links(false, false, List.of(), Set.of(), Set.of(), Set.of());

	private final OutdatedPlan outdatedPlan = new OutdatedPlan(
			TimeUnit.MILLISECONDS.toNanos(GatewayTimes.PLAN_QUERY_DELAY_MILLIS));

	private long appliedPosition = -1;

	private int reportsSent;

	PeerReports(EventLoopGroup loops, GatewayContext gateway, GatewayFleet fleet, GatewayView view, StoreFollower store,
			ViewFreshness freshness, Supplier<Gateway> description) {
		this.gateway = gateway;
		this.fleet = fleet;
		this.view = view;
		this.store = store;
		this.freshness = freshness;
		this.description = description;
		Gateway described = description.get();
		this.self = new Peer(described.host(), described.incarnation());
		this.topology = new RelayTopology();
		this.network = new PeerNetwork(loops, this.self, GatewayTimes.PEER_IDLE_TIMEOUT_MILLIS, this, gateway.events());
		this.storeRelay = new StoreRelay(gateway.dialect()::key, gateway.dialect()::server, view::serverConfirmed);
		store.forwardTo(this::forwardStoreChanges, () -> this.links.relay());
	}

	Channel listen(InetSocketAddress address) {
		return this.network.listen(address);
	}

	/**
	 * Connects to the members that this gateway exchanges reports with.
	 */
	void connect() {
		RelayTopology.Links previous = this.links;
		this.links = this.topology.links(this.description.get(), this.fleet.others(), this.network::isConnected,
				this.gateway.fullMeshHosts(), System.nanoTime());
		if (this.links.relayed() != previous.relayed() || this.links.relay() != previous.relay()
				|| !this.links.relays().equals(previous.relays())) {
			this.gateway.events()
				.record(Event.RELAYS_CHANGED, this.links.relayed() ? "relayed" : "direct", this.links.relay(),
						this.links.relays());
		}
		this.network.dial(this.links.dialled().stream().filter(this::isDialled).map(Gateway::peerAddress).toList());
	}

	/**
	 * Returns whether this gateway opens the connection to another one. In each pair that
	 * wants one, the gateway with the lower name does. A gateway that is no relay
	 * connects to its relays, which do not know of it.
	 * @param other the other gateway
	 * @return whether this gateway opens the connection
	 */
	private boolean isDialled(Gateway other) {
		if (this.links.relayed() && this.network.isConnected(other.host())) {
			return this.network.isDialled(other.peerAddress());
		}
		return this.links.relayed() && !this.links.relay() || other.host().compareTo(this.self.host()) > 0
				|| this.links.late().contains(other.host());
	}

	/**
	 * Divides rates by the received reports, and sends a report to the other gateways.
	 * @param ready whether this gateway accepts callers
	 */
	void report(boolean ready) {
		long now = System.nanoTime();
		if (this.freshness.retainsShare(now)) {
			this.gateway.shares().divide(this.fleet.size(), this.gateway.reportingGateways(), now);
		}
		else {
			this.gateway.shares().suspend(now);
		}
		if (this.links.relayed()) {
			// Which relays can be reached changes without a change of the members.
			connect();
		}
		int fullReportInterval = this.links.relayed() ? RELAYED_FULL_REPORT_INTERVAL : FULL_REPORT_INTERVAL;
		boolean full = this.reportsSent++ % fullReportInterval == 0;
		Message.GatewayReport report = new Message.GatewayReport(this.gateway.plan().version(), this.store.position(),
				String.join(",", this.view.evacuatedDataCentres()), this.gateway.isLeaving(), ready,
				this.gateway.shares().admittedCounts(full), this.gateway.shares().refusedCounts(),
				GatewayFleet.toPerMille(this.gateway.placement().localFractions()));
		if (!this.links.relayed()) {
			this.network.sendOnEveryConnection((peer) -> report);
			return;
		}
		ReceivedReport own = new ReceivedReport(this.self, this.reportsSent, report, now, true);
		this.relay.addOfRegion(own);
		this.network.send(this.links.relays(),
				new Message.RelayedReports(SCOPE_SENDER, ReportBundle.encode(List.of(own), now)));
	}

	/**
	 * Forwards the reports that this gateway received as a relay.
	 */
	void relay() {
		if (!this.links.relayed()) {
			return;
		}
		long now = System.nanoTime();
		List<ReceivedReport> ofRegion = this.relay.takeForOtherRegions();
		List<ReceivedReport> ofFleet = this.relay.takeForRegion();
		Set<String> remoteRelays = new HashSet<>(this.links.remoteRelays());
		remoteRelays.addAll(this.relay.remoteRelays(now));
		if (!ofRegion.isEmpty() && !remoteRelays.isEmpty()) {
			this.network.send(remoteRelays,
					new Message.RelayedReports(SCOPE_REGION, ReportBundle.encode(ofRegion, now)));
		}
		Set<String> reporters = this.relay.reporters(now);
		if (!ofFleet.isEmpty() && !reporters.isEmpty()) {
			this.network.send(reporters, new Message.RelayedReports(SCOPE_FLEET, ReportBundle.encode(ofFleet, now)));
		}
	}

	@Override
	public void messageReceived(Peer peer, Message message) {
		if (message instanceof Message.Greeting greeting) {
			this.gateway.events().record(Event.PEER_HEARD, greeting.host(), greeting.incarnation());
		}
		else if (message instanceof Message.GatewayReport report) {
			handleReport(peer.host(), new ReceivedReport(peer, 0, report, System.nanoTime(), true));
		}
		else if (message instanceof Message.RelayedReports relayed) {
			handleRelayedReports(peer, relayed);
		}
		else if (message instanceof Message.StoreChanges changes) {
			handleStoreChanges(peer, changes);
		}
		else if (message instanceof Message.ConfigurationQuery query
				&& this.gateway.plan().version() > query.revision()) {
			this.network.send(peer.host(),
					new Message.ConfigurationPush(this.gateway.plan().version(), this.view.planDocument()));
		}
		else if (message instanceof Message.ConfigurationPush push) {
			this.view.updatePlan(push.document(), peer.host());
		}
	}

	@Override
	public void peerLost(Peer peer, String reason) {
		this.fleet.connectionLost(peer.host());
		this.gateway.events().record(Event.PEER_LOST, peer.host(), reason);
	}

	private void handleRelayedReports(Peer sender, Message.RelayedReports relayed) {
		long now = System.nanoTime();
		List<ReceivedReport> reports;
		try {
			reports = ReportBundle.decode(relayed.reports(), sender.host(), now,
					(head) -> !head.origin().equals(this.self) && this.relay.isNew(head));
		}
		catch (MalformedMessageException ex) {
			this.gateway.events().record(Event.PEER_MALFORMED, sender.host(), ex.getMessage());
			return;
		}
		switch (relayed.scope()) {
			case SCOPE_SENDER -> {
				this.relay.reporterHeard(sender.host(), now);
				reports.forEach(this.relay::addOfRegion);
			}
			case SCOPE_REGION -> {
				this.relay.remoteRelayHeard(sender.host(), now);
				reports.forEach(this.relay::addOfOtherRegion);
			}
			default -> reports.forEach(this.relay::addHeard);
		}
		reports.forEach((report) -> handleReport(sender.host(), report));
	}

	private void handleReport(String sender, ReceivedReport received) {
		long now = System.nanoTime();
		Message.GatewayReport report = received.report();
		this.fleet.reportReceived(received);
		this.gateway.shares()
			.reportReceived(received.origin().host(), received.origin().incarnation(), report.admitted(),
					report.refused());
		if (this.outdatedPlan.isQueryDue(this.gateway.plan().version(), report.planVersion(), now)) {
			this.network.send(sender, new Message.ConfigurationQuery(this.gateway.plan().version()));
		}
		if (this.freshness.isStoreOverdue()
				&& report.storePosition() > Math.max(this.appliedPosition, this.store.position())) {
			this.appliedPosition = report.storePosition();
			this.view.updateEvacuations(
					Arrays.stream(report.evacuated().split(",")).filter((dataCentre) -> !dataCentre.isEmpty()).toList(),
					received.origin().host(), report.storePosition());
		}
	}

	/**
	 * Forwards changes of the store to the gateways that report to this relay.
	 * @param changes the changes as read
	 */
	private void forwardStoreChanges(StoreFollower.Batch changes) {
		if (!this.links.relay()) {
			this.storeRelay.reset();
			return;
		}
		Set<String> reporters = this.relay.reporters(System.nanoTime());
		this.storeRelay.encode(changes).ifPresent((message) -> this.network.send(reporters, message));
	}

	/**
	 * Applies changes of the store that a relay has read. Relays read the store
	 * themselves, so that they do not rely on each other.
	 * @param sender the relay
	 * @param changes the changes
	 */
	private void handleStoreChanges(Peer sender, Message.StoreChanges changes) {
		if (this.links.relay()) {
			return;
		}
		try {
			if (this.store.apply(StoreRelay.decode(changes))) {
				this.storeRelay.confirm(changes);
			}
		}
		catch (MalformedMessageException ex) {
			this.gateway.events().record(Event.PEER_MALFORMED, sender.host(), ex.getMessage());
		}
	}

}
