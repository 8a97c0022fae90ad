package io.masticlane.steering;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.backend.SlotBalancer;
import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.Region;
import io.masticlane.failure.Refusal;
import io.masticlane.fixture.Fleet;
import io.masticlane.limit.FleetLimit;
import io.masticlane.limit.Limits;
import io.masticlane.operation.Operation;
import io.masticlane.operation.RecordedResponse;
import io.masticlane.route.RoutingTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class SteeringTests {

	private static final int[] ALL_HOSTS = IntStream.range(0, 7).toArray();

	private static final long WARM_UP_MILLIS = 5_000;

	private static final long BASELINE_END_MILLIS = 95_000;

	private static final long FLOOD_END_MILLIS = 185_000;

	private static final double WEST_CAPACITY = 14;

	private static final List<String> OTHERS = Fleet.ORGANISATIONS.subList(1, 8);

	@DataProvider
	public Object[][] seeds() {
		return IntStream.range(1, 11).mapToObj((seed) -> new Object[] { (long) seed }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "seeds")
	public void aFloodLeavesTheOtherOrganisationsWithinTwiceTheirUndisturbedLatency(long seed) {
		SteeringSimulation simulation = new SteeringSimulation(Fleet.defaultConfiguration(7, 12, 3), seed);
		OTHERS.forEach((organisation) -> simulation.generateLoad(organisation, 40, FLOOD_END_MILLIS, ALL_HOSTS));
		simulation.run(WARM_UP_MILLIS);
		simulation.resetStatistics();
		simulation.run(BASELINE_END_MILLIS);
		double baseline = worstLatencyMillis(simulation);
		int refused = refused(simulation);
		simulation.resetStatistics();
		simulation.generateLoad(Fleet.ORGANISATIONS.get(0), 1_200, FLOOD_END_MILLIS, ALL_HOSTS);
		simulation.run(FLOOD_END_MILLIS);
		double flooded = worstLatencyMillis(simulation);
		String measured = "seed " + seed + ": p99 " + baseline + " ms baseline, " + flooded + " ms flooded, refused "
				+ refused + " and " + refused(simulation) + ", shed " + simulation.shed() + " of "
				+ (simulation.started() + simulation.shed());

		assertTrue(flooded <= 2 * baseline, measured);
		assertEquals(refused + refused(simulation), 0, measured);
	}

	@Test(dataProvider = "seeds")
	public void noRegionExceedsItsCapacityAndOthersServeTheRest(long seed) {
		Configuration unlimited = Fleet.defaultConfiguration(7, 12, 7);
		Configuration limited = unlimited.withRegions(unlimited.regions()
			.stream()
			.map((region) -> region.name().equals("west") ? new Region("west", WEST_CAPACITY) : region)
			.toList());
		SteeringSimulation simulation = new SteeringSimulation(limited, seed, Limits.EqualShares::new);
		OTHERS.forEach((organisation) -> simulation.generateLoad(organisation, 40, WARM_UP_MILLIS, ALL_HOSTS));
		simulation.run(2 * WARM_UP_MILLIS);
		int west = limited.backendServers()
			.stream()
			.filter((server) -> server.dataCentre().startsWith("west"))
			.mapToInt((server) -> simulation.started(server.name()))
			.sum();
		double burst = FleetLimit.of(limited)
			.stream()
			.filter((limit) -> limit.identifier().equals(Limits.regionIdentifier("west")))
			.mapToDouble(FleetLimit::burst)
			.sum();
		double allowed = WEST_CAPACITY * 2 * WARM_UP_MILLIS / 1_000 + burst;
		assertTrue(west > 0 && west <= allowed, "seed " + seed + ": " + west + " in west, allowed " + allowed);
		assertTrue(simulation.started() > 4 * west, "seed " + seed + ": " + west + " of " + simulation.started());
	}

	@Test
	public void aRequestThatFindsAFreeSlotIsDispatchedAtOnce() {
		RoutingTable table = RoutingTable.of(1, Fleet.defaultConfiguration(1, 1, 1));
		Limits limits = new SteeringSimulation.Unlimited();
		Steering steering = new Steering(limits, null, new SlotBalancer("entry-1"),
				new RegionOrder.ClosestFirst("west-1", limits));
		steering.configure(table, 0);
		DispatchCounter handler = new DispatchCounter();
		IncomingRequest request = new IncomingRequest("org-1", table.match("GET", "/ledger").orElseThrow(),
				Operation.NONE, TimeUnit.SECONDS.toNanos(1), handler);
		InFlightRequest first = steering.submit(request, 0);
		steering.attemptEnded(first, AttemptResult.ANSWERED, 1);
		steering.submit(request, 2);
		assertEquals(handler.dispatched, 2);
	}

	private static double worstLatencyMillis(SteeringSimulation simulation) {
		return OTHERS.stream()
			.mapToDouble((organisation) -> simulation.latencyMillis(organisation, 99))
			.max()
			.orElseThrow();
	}

	private static int refused(SteeringSimulation simulation) {
		return OTHERS.stream().mapToInt(simulation::refused).sum();
	}

	private static final class DispatchCounter implements DecisionHandler {

		private int dispatched;

		@Override
		public void dispatch(BackendServer server) {
			this.dispatched++;
		}

		@Override
		public void refuse(Refusal refusal) {
		}

		@Override
		public void replay(RecordedResponse response) {
		}

	}

}
