package io.masticlane.fleet;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.masticlane.message.Message;
import io.masticlane.peer.Peer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

public class GatewayFleetTests {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private GatewayFleet fleet;

	@BeforeMethod
	public void createFleet() {
		this.fleet = new GatewayFleet("self");
	}

	@Test
	public void callersAreDirectedToTheirRegionWhileAGatewayInItAcceptsThem() {
		describe("self", "west");
		describe("a", "north");
		report("a", true, false, 3 * SECOND_NANOS);
		assertEquals(hosts("west", 3 * SECOND_NANOS), List.of("self"));
		assertEquals(hosts("north", 3 * SECOND_NANOS), List.of("a"));
		report("a", true, true, 3 * SECOND_NANOS);
		assertEquals(hosts("north", 3 * SECOND_NANOS), List.of("self"));
	}

	@Test
	public void localFractionsComeFromUnexpiredReportsOfOtherGatewaysInTheRegion() {
		describe("self", "west");
		describe("a", "west");
		describe("b", "north");
		describe("c", "west");
		report("a", true, false, 3 * SECOND_NANOS);
		report("b", true, false, 3 * SECOND_NANOS);
		report("c", true, false, SECOND_NANOS);
		assertEquals(this.fleet.localFractions("west", 3 * SECOND_NANOS), List.of(Map.of("ledger", 0.25)));
	}

	@Test
	public void aGatewayWithoutAnUnexpiredReportIsNotReturned() {
		describe("self", "west");
		describe("a", "west");
		assertEquals(hosts("west", SECOND_NANOS), List.of("a", "self"));
		assertEquals(hosts("west", 3 * SECOND_NANOS), List.of("self"));
		report("a", true, false, 3 * SECOND_NANOS);
		assertEquals(hosts("west", 4 * SECOND_NANOS), List.of("a", "self"));
		this.fleet.connectionLost("a");
		assertEquals(hosts("west", 4 * SECOND_NANOS), List.of("self"));
	}

	/**
	 * Guards against limits that two sides of a partition use at once.
	 */
	@Test
	public void theShareOfAGatewayWhoseEntryLapsedStaysReserved() {
		describeAll("self", "a", "b");
		this.fleet.memberRemoved("a", SECOND_NANOS);
		this.fleet.expire(GatewayFleet.RESERVATION_NANOS);
		assertEquals(this.fleet.size(), 3);
		assertEquals(this.fleet.regionSize("west"), 3);
		assertEquals(hosts("west", 3 * SECOND_NANOS), List.of("self"));
		describe("a", "west");
		assertEquals(this.fleet.size(), 3);
	}

	@Test
	public void aReservationEndsAfterAWhileUnlessItIsForHalfOfTheGateways() {
		describeAll("self", "a", "b");
		this.fleet.memberRemoved("a", SECOND_NANOS);
		this.fleet.expire(2 * SECOND_NANOS + GatewayFleet.RESERVATION_NANOS);
		assertEquals(this.fleet.size(), 2);
		this.fleet.memberRemoved("b", SECOND_NANOS);
		this.fleet.expire(2 * SECOND_NANOS + GatewayFleet.RESERVATION_NANOS);
		assertEquals(this.fleet.size(), 2);
	}

	@Test
	public void aGatewayThatAnnouncedItsEndHasNoReservation() {
		describeAll("self", "a", "b");
		report("a", false, true, SECOND_NANOS);
		this.fleet.memberRemoved("a", SECOND_NANOS);
		this.fleet.memberUpdated(new Gateway("b", "1", "west-1", "west", new InetSocketAddress("127.0.0.1", 1),
				new InetSocketAddress("127.0.0.1", 2), true), SECOND_NANOS);
		this.fleet.memberRemoved("b", SECOND_NANOS);
		assertEquals(this.fleet.size(), 1);
	}

	@Test
	public void aGatewayThatIsCutOffLosesItsShareBeforeTheOthersReleaseItUnlessItHearsMostGateways() {
		describeAll("self", "a", "b", "c");
		long before = GatewayFleet.RESERVATION_NANOS - SECOND_NANOS;
		assertTrue(this.fleet.retainsShare(before, SECOND_NANOS));
		assertFalse(this.fleet.retainsShare(GatewayFleet.RESERVATION_NANOS, SECOND_NANOS));
		report("a", true, false, SECOND_NANOS);
		assertFalse(this.fleet.retainsShare(GatewayFleet.RESERVATION_NANOS, SECOND_NANOS));
		report("b", true, false, SECOND_NANOS);
		assertTrue(this.fleet.retainsShare(GatewayFleet.RESERVATION_NANOS, SECOND_NANOS));
	}

	@Test
	public void anEncodedEntryIsDecodedUnchanged() {
		Gateway gateway = gateway("a", "west");
		assertEquals(GatewayEntry.decode(GatewayEntry.encode(gateway)), gateway);
		assertEquals(GatewayEntry.host(GatewayEntry.key("a")).orElseThrow(), "a");
	}

	@Test
	public void invalidBytesAreRejected() {
		assertThrows(IllegalArgumentException.class, () -> GatewayEntry.decode(new byte[] { 1, 2, 3 }));
		assertThrows(IllegalArgumentException.class, () -> GatewayEntry.decode(new byte[0]));
	}

	private List<String> hosts(String region, long now) {
		return this.fleet.availableGateways(region, now).stream().map(Gateway::host).toList();
	}

	private void describeAll(String... hosts) {
		Arrays.stream(hosts).forEach((host) -> describe(host, "west"));
	}

	private void describe(String host, String region) {
		this.fleet.memberUpdated(gateway(host, region), 0);
	}

	private void report(String host, boolean ready, boolean leaving, long now) {
		Message.GatewayReport report = new Message.GatewayReport(1, 1, "", leaving, ready, Map.of(), Map.of(),
				GatewayFleet.toPerMille(Map.of("ledger", 0.25)));
		this.fleet.reportReceived(new ReceivedReport(new Peer(host, "1"), 0, report, now, true));
	}

	private static Gateway gateway(String host, String region) {
		return new Gateway(host, "1", region + "-1", region, new InetSocketAddress("127.0.0.1", 1),
				new InetSocketAddress("127.0.0.1", 2), false);
	}

}
