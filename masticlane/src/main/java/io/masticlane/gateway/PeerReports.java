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
 * Exchanges reports with the other gateways. A gateway that is cut off from the store
 * hears of newer plans and of evacuations this way.
 */
final class PeerReports implements PeerListener {

	/**
	 * One of so many reports carries all counts, for gateways that joined since.
	 */
	private static final int WHOLE_REPORTS = 10;

	private final GatewayContext traffic;

	private final GatewayFleet fleet;

	private final GatewayView beliefs;

	private final StoreFollower store;

	private final Peer self;

	private final PeerNetwork network;

	private long behindSince;

	private boolean behind;

	private long adoptedPosition = -1;

	private int reports;

	PeerReports(EventLoopGroup loops, GatewayContext traffic, GatewayFleet fleet, GatewayView beliefs,
			StoreFollower store, Peer self) {
		this.traffic = traffic;
		this.fleet = fleet;
		this.beliefs = beliefs;
		this.store = store;
		this.self = self;
		this.network = new PeerNetwork(loops, self, GatewayTimes.PEER_IDLE_TIMEOUT_MILLIS, this, traffic.events());
	}

	Channel listen(InetSocketAddress address) {
		return this.network.listen(address);
	}

	/**
	 * Connects to the members; of each two gateways the one with the lower name dials.
	 * @param others the other members
	 */
	void connect(List<Gateway> others) {
		Collection<InetSocketAddress> addresses = others.stream()
			.filter((gateway) -> gateway.host().compareTo(this.self.host()) > 0)
			.map(Gateway::peerAddress)
			.toList();
		this.network.dial(addresses);
	}

	/**
	 * Divides rates by the reports that were heard, and sends a report to every gateway.
	 * @param ready whether this gateway takes callers
	 */
	void report(boolean ready) {
		long now = System.nanoTime();
		this.traffic.shares().divide(this.fleet.size(), this.fleet.freshReportCount(now) + 1, now);
		boolean all = this.reports++ % WHOLE_REPORTS == 0;
		Message.GatewayReport report = new Message.GatewayReport(this.traffic.plan().version(), this.store.position(),
				String.join(",", this.beliefs.evacuatedDataCentres()), this.traffic.isLeaving(), ready,
				this.traffic.shares().admittedCounts(all), this.traffic.shares().refusedCounts(),
				GatewayFleet.toPerMille(this.traffic.placement().localFractions()));
		this.network.sendOnEveryConnection((peer) -> report);
	}

	@Override
	public void heard(Peer peer, Message message) {
		if (message instanceof Message.Greeting greeting) {
			this.traffic.events().record(Event.PEER_HEARD, greeting.host(), greeting.incarnation());
		}
		else if (message instanceof Message.GatewayReport report) {
			reported(peer, report);
		}
		else if (message instanceof Message.ConfigurationQuery query
				&& this.traffic.plan().version() > query.revision()) {
			this.network.send(peer.host(),
					new Message.ConfigurationPush(this.traffic.plan().version(), this.beliefs.planDocument()));
		}
		else if (message instanceof Message.ConfigurationPush push) {
			this.beliefs.updatePlan(push.document(), peer.host());
		}
	}

	@Override
	public void lost(Peer peer, String reason) {
		this.fleet.connectionLost(peer.host());
		this.traffic.events().record(Event.PEER_LOST, peer.host(), reason);
	}

	private void reported(Peer peer, Message.GatewayReport report) {
		long now = System.nanoTime();
		this.fleet.reportReceived(peer.host(), report, now);
		this.traffic.shares().reportReceived(peer.host(), peer.incarnation(), report.admitted(), report.refused());
		if (report.planVersion() <= this.traffic.plan().version()) {
			this.behind = false;
		}
		else if (!this.behind) {
			this.behind = true;
			this.behindSince = now;
		}
		else if (now - this.behindSince > TimeUnit.MILLISECONDS.toNanos(GatewayTimes.PLAN_QUERY_DELAY_MILLIS)) {
			this.behindSince = now;
			this.network.send(peer.host(), new Message.ConfigurationQuery(this.traffic.plan().version()));
		}
		boolean storeSilent = this.store.ageMillis() > GatewayTimes.STORE_LOST_MILLIS;
		if (storeSilent && report.storePosition() > Math.max(this.adoptedPosition, this.store.position())) {
			this.adoptedPosition = report.storePosition();
			this.beliefs.updateEvacuations(
					Arrays.stream(report.evacuated().split(",")).filter((dataCentre) -> !dataCentre.isEmpty()).toList(),
					peer.host(), report.storePosition());
		}
	}

}
