package io.masticlane.steering;

import java.util.List;
import java.util.stream.IntStream;

import io.masticlane.fixture.Fleet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class SteeringTests {

	private static final int[] ALL_HOSTS = IntStream.range(0, 7).toArray();

	private static final long WARM_MILLIS = 5_000;

	private static final long UNDISTURBED_MILLIS = 95_000;

	private static final long FLOODED_MILLIS = 185_000;

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
		simulation.forgetFigures();
		simulation.run(UNDISTURBED_MILLIS);
		double undisturbed = worst(simulation);
		int lost = lost(simulation);
		simulation.forgetFigures();
		simulation.load(Fleet.ORGANISATIONS.get(0), 1_200, FLOODED_MILLIS, ALL_HOSTS);
		simulation.run(FLOODED_MILLIS);
		double flooded = worst(simulation);
		String figures = "seed " + seed + ": p99 " + undisturbed + " ms undisturbed, " + flooded + " ms flooded, lost "
				+ lost + " and " + lost(simulation) + ", shed " + simulation.shed() + " of "
				+ (simulation.begun() + simulation.shed());

		assertTrue(flooded <= 2 * undisturbed, figures);
		assertEquals(lost + lost(simulation), 0, figures);
	}

	private static double worst(SteeringSimulation simulation) {
		return OTHERS.stream().mapToDouble((organisation) -> simulation.millis(organisation, 99)).max().orElseThrow();
	}

	private static int lost(SteeringSimulation simulation) {
		return OTHERS.stream().mapToInt(simulation::refused).sum();
	}

}
