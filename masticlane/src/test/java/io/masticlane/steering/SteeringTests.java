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
import io.masticlane.operation.RecordedAnswer;
import io.masticlane.route.RoutingTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class SteeringTests {

	private static final int[] ALL_HOSTS = IntStream.range(0, 7).toArray();

	private static final long WARM_MILLIS = 5_000;

	private static final long UNDISTURBED_MILLIS = 95_000;

	private static final long FLOODED_MILLIS = 185_000;

	private static final double WEST_CAPACITY = 14;

	private static final List<String> OTHERS = Fleet.ORGANISATIONS.subList(1, 8);

	@DataProvider
	public Object[][] seeds() {
		return IntStream.range(1, 11).mapToObj((seed) -> new Object[] { (long) seed }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "seeds")
	public void aFloodLeavesTheOtherOrganisationsWithinTwiceTheirUndisturbedLatency(long seed) {
		SteeringSimulation simulation = new SteeringSimulation(Fleet.describe(7, 12, 3), seed);
		OTHERS.forEach((organisation) -> simulation.load(organisation, 40, FLOODED_MILLIS, ALL_HOSTS));
		simulation.run(WARM_MILLIS);
		simulation.resetStatistics();
		simulation.run(UNDISTURBED_MILLIS);
		double undisturbed = worst(simulation);
		int lost = lost(simulation);
		simulation.resetStatistics();
		simulation.load(Fleet.ORGANISATIONS.get(0), 1_200, FLOODED_MILLIS, ALL_HOSTS);
		simulation.run(FLOODED_MILLIS);
		double flooded = worst(simulation);
		String figures = "seed " + seed + ": p99 " + undisturbed + " ms undisturbed, " + flooded + " ms flooded, lost "
				+ lost + " and " + lost(simulation) + ", shed " + simulation.shed() + " of "
				+ (simulation.begun() + simulation.shed());

		assertTrue(flooded <= 2 * undisturbed, figures);
		assertEquals(lost + lost(simulation), 0, figures);
	}

	@Test(dataProvider = "seeds")
	public void noRegionGetsMoreThanItsCapacityAndOthersTakeTheRest(long seed) {
		Configuration described = Fleet.describe(7, 12, 7);
		Configuration limited = described.withRegions(described.regions()
			.stream()
			.map((region) -> region.name().equals("west") ? new Region("west", WEST_CAPACITY) : region)
			.toList());
		SteeringSimulation simulation = new SteeringSimulation(limited, seed, Limits.EqualShares::new);
		OTHERS.forEach((organisation) -> simulation.load(organisation, 40, WARM_MILLIS, ALL_HOSTS));
		simulation.run(2 * WARM_MILLIS);
		int west = limited.backendServers()
			.stream()
			.filter((server) -> server.dataCentre().startsWith("west"))
			.mapToInt((server) -> simulation.begun(server.name()))
			.sum();
		double burst = FleetLimit.of(limited)
			.stream()
			.filter((limit) -> limit.identifier().equals(Limits.regionIdentifier("west")))
			.mapToDouble(FleetLimit::burst)
			.sum();
		double allowed = WEST_CAPACITY * 2 * WARM_MILLIS / 1_000 + burst;
		assertTrue(west > 0 && west <= allowed, "seed " + seed + ": " + west + " in west, allowed " + allowed);
		assertTrue(simulation.begun() > 4 * west, "seed " + seed + ": " + west + " of " + simulation.begun());
	}

	@Test
	public void aRequestThatFindsAFreeSlotIsDispatchedAtOnce() {
		RoutingTable table = RoutingTable.of(1, Fleet.describe(1, 1, 1));
		Limits limits = new SteeringSimulation.Unlimited();
		Steering steering = new Steering(limits, null, new SlotBalancer("entry-1"),
				new RegionOrder.ClosestFirst("west-1", limits));
		steering.configure(table, 0);
		DispatchCounter counter = new DispatchCounter();
		IncomingRequest arrival = new IncomingRequest("org-1", table.match("GET", "/ledger").orElseThrow(),
				Operation.NONE, TimeUnit.SECONDS.toNanos(1), counter);
		InFlightRequest first = steering.submit(arrival, 0);
		steering.attemptEnded(first, AttemptResult.ANSWERED, 1);
		steering.submit(arrival, 2);
		assertEquals(counter.dispatched, 2);
	}

	private static double worst(SteeringSimulation simulation) {
		return OTHERS.stream()
			.mapToDouble((organisation) -> simulation.latencyMillis(organisation, 99))
			.max()
			.orElseThrow();
	}

	private static int lost(SteeringSimulation simulation) {
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
		public void replay(RecordedAnswer answer) {
		}

	}

}
