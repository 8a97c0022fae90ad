package io.masticlane.placement;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.registry.RegisteredServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RegionFlowTests {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private RegionFlow flow;

	@BeforeMethod
	public void createFlow() {
		this.flow = new RegionFlow();
	}

	@Test
	public void requestsThatLeftTheirRegionAreReportedWithTheReason() {
		send("west", PlacementReason.OWN, 60);
		send("east", PlacementReason.ASSIGNED, 40);
		this.flow.closeWindow(2 * SECOND_NANOS);
		send("west", PlacementReason.OWN, 30);
		send("east", PlacementReason.NO_CANDIDATE, 70);
		this.flow.recordRefused("west");
		RegionFlow.Change change = this.flow.closeWindow(4 * SECOND_NANOS).orElseThrow();
		assertEquals(change.movedFraction(), 0.3, 0.001);
		assertEquals(change.before(), "east:40,west:60");
		assertEquals(change.reasons(), "OWN:30,NO_CANDIDATE:70");
		assertEquals(change.refused(), "west:1");
	}

	@Test
	public void moreTrafficWithTheSameDistributionIsNoChangeOfRegions() {
		assertEquals(RegionFlow.movedFraction(Map.of("west", 10, "east", 30), Map.of("west", 30, "east", 90)), 0.0,
				0.001);
	}

	@Test
	public void windowsWithFewRequestsAreNotCompared() {
		send("west", PlacementReason.OWN, 3);
		this.flow.closeWindow(2 * SECOND_NANOS);
		send("east", PlacementReason.OWN, 3);
		assertTrue(this.flow.closeWindow(4 * SECOND_NANOS).isEmpty());
	}

	private void send(String region, PlacementReason reason, int requests) {
		ServerState server = new ServerState(new RegisteredServer(region, "s",
				InetSocketAddress.createUnresolved("10.0.0.1", 80), region, 9, false, 0, 1, 1), region, 0);
		IntStream.range(0, requests)
			.forEach((each) -> this.flow.recordSent(new PlacementChoice(server, 1, true, true, 1, 1, 1, reason)));
	}

}
