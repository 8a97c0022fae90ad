package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.HostCapacity;
import io.masticlane.fleet.ReceivedReport;
import io.masticlane.fleet.RelayTopology;
import io.masticlane.fleet.ReportBundle;
import io.masticlane.message.MalformedMessageException;
import io.masticlane.message.Message;
import io.masticlane.peer.Peer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Plays the reports of a fleet over its relays, with the latency between regions, and
 * checks what each host knows of the others.
 */
public class ReportRelayTests {

	private static final int SENDER = 0;

	private static final int REGION = 1;

	private static final int FLEET = 2;

	private final List<Host> hosts = new ArrayList<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			(one, other) -> Long.compare(one.at(), other.at()));

	private int messages;

	private int now;

	/**
	 * Guards against reports that get too old over relays, and against messages that grow
	 * with the fleet.
	 */
	@Test
	public void everyHostKnowsEveryOtherOneWithAFewMessagesEach() {
		assertEquals(oldestMillis(98, 5_000, -1), 98);
		int few = this.messages;
		assertEquals(oldestMillis(297, 5_000, -1), 297);
		assertTrue(this.messages < 3.2 * few, few + " messages of 98 hosts, " + this.messages + " of 297");
		assertTrue(few / 98 / 5 <= 14, few / 98 / 5 + " messages a host and second");
	}

	/**
	 * Guards against a relay whose death leaves its region without reports: the limit is
	 * the age at which a report expires.
	 */
	@Test
	public void reportsDoNotExpireWhileARelayIsReplaced() {
		assertEquals(oldestMillis(98, 9_000, 4_000), 97);
	}

	private int oldestMillis(int size, int untilMillis, int killedAtMillis) {
		this.hosts.clear();
		this.deliveries.clear();
		this.messages = 0;
		IntStream.range(0, size).forEach((index) -> this.hosts.add(new Host(index)));
		for (this.now = 0; this.now < untilMillis; this.now += 5) {
			if (this.now == killedAtMillis) {
				this.hosts.get(0).alive = false;
			}
			while (!this.deliveries.isEmpty() && this.deliveries.peek().at() <= this.now) {
				Delivery next = this.deliveries.poll();
				next.to().receive(next);
			}
			this.hosts.stream().filter((host) -> host.alive).forEach(Host::tick);
			if (this.now > 3_000 && this.now % 50 == 0) {
				this.hosts.stream().filter((host) -> host.alive).forEach(Host::check);
			}
		}
		return (int) this.hosts.stream().filter((host) -> host.alive).count();
	}

	private static long nanos(int millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private record Delivery(long at, Host from, Host to, int scope, byte[] bundle) {
	}

	private final class Host {

		private final Gateway description;

		private final RelayTopology topology;

		private final ReportRelay relay = new ReportRelay();

		private final Map<String, ReceivedReport> known = new HashMap<>();

		private final int index;

		private RelayTopology.Links links;

		private boolean alive = true;

		private long sequence;

		private Host(int index) {
			this.index = index;
			this.description = new Gateway(String.format("h%03d", index), "1", "dc", "region-" + index % 3,
					new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2), false,
					HostCapacity.UNKNOWN);
			this.topology = new RelayTopology();
		}

		private void tick() {
			int phase = ReportRelayTests.this.now + 5 * (this.index * 37 % 100);
			if (phase % 500 == 0) {
				List<Gateway> others = ReportRelayTests.this.hosts.stream()
					.filter((each) -> each != this)
					.map((each) -> each.description)
					.toList();
				this.links = this.topology.links(this.description, others, (name) -> host(name).alive, 48,
						nanos(ReportRelayTests.this.now));
				ReceivedReport own = new ReceivedReport(new Peer(this.description.host(), "1"), ++this.sequence,
						new Message.GatewayReport(1, 1, "", false, true, Map.of(), Map.of(), Map.of()),
						nanos(ReportRelayTests.this.now), true);
				this.relay.addOfRegion(own);
				send(this.links.relays(), SENDER, List.of(own));
			}
			if (this.links != null && phase % 250 == 0) {
				send(this.links.remoteRelays(), REGION, this.relay.takeForOtherRegions());
				send(this.relay.reporters(nanos(ReportRelayTests.this.now)), FLEET, this.relay.takeForRegion());
			}
		}

		private void send(Set<String> names, int scope, List<ReceivedReport> reports) {
			byte[] bundle = ReportBundle.encode(reports, nanos(ReportRelayTests.this.now));
			names.stream().map(this::host).filter((each) -> !reports.isEmpty()).forEach((to) -> {
				ReportRelayTests.this.messages++;
				int latency = to.description.region().equals(this.description.region()) ? 1 : 35;
				ReportRelayTests.this.deliveries
					.add(new Delivery(ReportRelayTests.this.now + latency, this, to, scope, bundle));
			});
		}

		private void receive(Delivery delivery) {
			try {
				long nanos = nanos(ReportRelayTests.this.now);
				String sender = delivery.from().description.host();
				List<ReceivedReport> reports = ReportBundle.decode(delivery.bundle(), sender, nanos, this.relay::isNew);
				switch (delivery.scope()) {
					case SENDER -> {
						this.relay.reporterHeard(sender, nanos);
						reports.forEach(this.relay::addOfRegion);
					}
					case REGION -> reports.forEach(this.relay::addOfOtherRegion);
					default -> reports.forEach(this.relay::addHeard);
				}
				reports.forEach((report) -> this.known.put(report.origin().host(), report));
			}
			catch (MalformedMessageException ex) {
				throw new IllegalStateException(ex);
			}
		}

		private void check() {
			ReportRelayTests.this.hosts.stream().filter((each) -> each.alive && each != this).forEach((other) -> {
				ReceivedReport report = this.known.get(other.description.host());
				long age = (report != null) ? nanos(ReportRelayTests.this.now) - report.receivedAt() : Long.MAX_VALUE;
				assertTrue(age < nanos(1_600), this.description.host() + " knows " + other.description.host()
						+ " as of " + TimeUnit.NANOSECONDS.toMillis(age) + " ms ago");
			});
		}

		private Host host(String name) {
			return ReportRelayTests.this.hosts.get(Integer.parseInt(name.substring(1)));
		}

	}

}
