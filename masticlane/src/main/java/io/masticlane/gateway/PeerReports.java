package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.masticlane.event.Event;
import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayFleet;
import io.masticlane.message.Message;
import io.masticlane.peer.Peer;
import io.masticlane.peer.PeerListener;
import io.masticlane.peer.PeerNetwork;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;

/**
 * Exchanges reports with the other gateways. A gateway that is disconnected from the
 * store receives newer plans and evacuations this way.
 */
final class PeerReports implements PeerListener {

	/**
	 * One out of this number of reports contains all counts, for gateways that joined in
	 * between.
	 */
	private static final int FULL_REPORT_INTERVAL = 10;

	private final GatewayContext gateway;

	private final GatewayFleet fleet;

	private final GatewayView view;

	private final StoreFollower store;

	private final ViewFreshness freshness;

	private final Peer self;

	private final PeerNetwork network;

	private long planOutdatedSince;

	private boolean planOutdated;

	private long appliedPosition = -1;

	private int reportsSent;

	PeerReports(EventLoopGroup loops, GatewayContext gateway, GatewayFleet fleet, GatewayView view, StoreFollower store,
			ViewFreshness freshness, Peer self) {
		this.gateway = gateway;
		this.fleet = fleet;
		this.view = view;
		this.store = store;
		this.freshness = freshness;
		this.self = self;
		this.network = new PeerNetwork(loops, self, GatewayTimes.PEER_IDLE_TIMEOUT_MILLIS, this, gateway.events());
	}

	Channel listen(InetSocketAddress address) {
		return this.network.listen(address);
	}

	/**
	 * Connects to the members; in each pair of gateways, the one with the lower name
	 * opens the connection.
	 * @param others the other members
	 */
	void connect(List<Gateway> others) {
		Collection<InetSocketAddress> addresses = others.stream()
			.filter((member) -> member.host().compareTo(this.self.host()) > 0)
			.map(Gateway::peerAddress)
			.toList();
		this.network.dial(addresses);
	}

	/**
	 * Divides rates by the received reports, and sends a report to every gateway.
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
		boolean full = this.reportsSent++ % FULL_REPORT_INTERVAL == 0;
		Message.GatewayReport report = new Message.GatewayReport(this.gateway.plan().version(), this.store.position(),
				String.join(",", this.view.evacuatedDataCentres()), this.gateway.isLeaving(), ready,
				this.gateway.shares().admittedCounts(full), this.gateway.shares().refusedCounts(),
				GatewayFleet.toPerMille(this.gateway.placement().localFractions()));
		this.network.sendOnEveryConnection((peer) -> report);
	}

	@Override
	public void messageReceived(Peer peer, Message message) {
		if (message instanceof Message.Greeting greeting) {
			this.gateway.events().record(Event.PEER_HEARD, greeting.host(), greeting.incarnation());
		}
		else if (message instanceof Message.GatewayReport report) {
			handleReport(peer, report);
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

	private void handleReport(Peer peer, Message.GatewayReport report) {
		long now = System.nanoTime();
		this.fleet.reportReceived(peer.host(), report, now);
		this.gateway.shares().reportReceived(peer.host(), peer.incarnation(), report.admitted(), report.refused());
		if (report.planVersion() <= this.gateway.plan().version()) {
			this.planOutdated = false;
		}
		else if (!this.planOutdated) {
			this.planOutdated = true;
			this.planOutdatedSince = now;
		}
		else if (now - this.planOutdatedSince > TimeUnit.MILLISECONDS.toNanos(GatewayTimes.PLAN_QUERY_DELAY_MILLIS)) {
			this.planOutdatedSince = now;
			this.network.send(peer.host(), new Message.ConfigurationQuery(this.gateway.plan().version()));
		}
		if (this.freshness.isStoreOverdue()
				&& report.storePosition() > Math.max(this.appliedPosition, this.store.position())) {
			this.appliedPosition = report.storePosition();
			this.view.updateEvacuations(
					Arrays.stream(report.evacuated().split(",")).filter((dataCentre) -> !dataCentre.isEmpty()).toList(),
					peer.host(), report.storePosition());
		}
	}

}
