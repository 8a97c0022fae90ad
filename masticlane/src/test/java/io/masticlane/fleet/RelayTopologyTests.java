package io.masticlane.fleet;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RelayTopologyTests {

	private static final long LATER = TimeUnit.SECONDS.toNanos(2);

	private final List<Gateway> fleet = IntStream.range(0, 98).mapToObj(RelayTopologyTests::gateway).toList();

	private final Set<String> unreachable = new HashSet<>();

	@Test
	public void hostsOfASmallFleetConnectToEachOther() {
		RelayTopology.Links links = new RelayTopology().links(gateway(0), this.fleet.subList(1, 30), (host) -> true, 48,
				0);
		assertFalse(links.relayed());
		assertEquals(links.dialled().size(), 29);
	}

	/**
	 * Guards against connections that grow with the fleet.
	 */
	@Test
	public void aHostOfALargeFleetConnectsToTwoRelaysAndARelayToThoseOfEachRegion() {
		assertEquals(links(gateway(95), new RelayTopology(), 0).relays(), Set.of("h02", "h05"));
		assertEquals(links(gateway(95), new RelayTopology(), 0).dialled().size(), 2);
		RelayTopology.Links relay = links(gateway(2), new RelayTopology(), 0);
		assertTrue(relay.relay());
		assertEquals(relay.remoteRelays(), Set.of("h00", "h03", "h01", "h04"));
		assertEquals(relay.dialled().size(), 5);
	}

	/**
	 * Guards against a region without reports after its relays died.
	 */
	@Test
	public void theNextHostReplacesARelayThatCannotBeReached() {
		this.unreachable.addAll(Set.of("h02", "h05"));
		RelayTopology topology = new RelayTopology();
		assertEquals(links(gateway(95), topology, 0).relays(), Set.of());
		assertEquals(links(gateway(95), topology, LATER).relays(), Set.of("h08", "h11"));
		RelayTopology next = new RelayTopology();
		links(gateway(8), next, 0);
		assertTrue(links(gateway(8), next, LATER).relay());
	}

	private RelayTopology.Links links(Gateway self, RelayTopology topology, long now) {
		return topology.links(self, this.fleet.stream().filter((each) -> !each.equals(self)).toList(),
				(host) -> !this.unreachable.contains(host), 48, now);
	}

	private static Gateway gateway(int index) {
		return new Gateway(String.format("h%02d", index), "1", "dc-" + index % 6, "region-" + index % 3,
				new InetSocketAddress("127.0.0.1", 1_000 + index), new InetSocketAddress("127.0.0.1", 2_000 + index),
				false, HostCapacity.UNKNOWN);
	}

}
