package io.masticlane.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.LongStream;

import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class SlowMachineTests {

	/**
	 * How much longer requests may take because of a figure that misleads.
	 */
	private static final double MEAN_MARGIN = 1.1;

	private static final double PERCENTILE_MARGIN = 1.15;

	private static final SlowMachineSimulation.Figure NONE = (slow, random) -> OptionalDouble.empty();

	private static final SlowMachineSimulation.Figure TRUE = (slow, random) -> OptionalDouble.of(slow ? 250 : 100);

	private static final Load SHORT_REQUESTS = new Load(false, 250, true, 1);

	private static final Load WARM_OBJECTS = new Load(true, 750, false, 4);

	private final Map<Load, Times> withoutFigure = new LinkedHashMap<>();

	@BeforeClass
	public void playWithoutFigure() {
		List.of(SHORT_REQUESTS, WARM_OBJECTS, new Load(false, 750, false, 4))
			.forEach((load) -> this.withoutFigure.put(load, load.play(NONE, false)));
	}

	@DataProvider
	public Object[][] misleadingFigures() {
		return new Object[][] { { figure((slow, random) -> OptionalDouble.of(100)) },
				{ figure((slow, random) -> OptionalDouble.of(1_000)) },
				{ figure((slow, random) -> OptionalDouble.of(50 + 450 * random.nextDouble())) },
				{ figure((slow, random) -> OptionalDouble.of(slow ? 100 : 250)) } };
	}

	/**
	 * Guards against requests to a machine that is known to be slow while others are not.
	 */
	@Test
	public void theFigureShortensRequestsThatAnyServerMayServe() {
		Times without = this.withoutFigure.get(SHORT_REQUESTS);
		Times with = SHORT_REQUESTS.play(TRUE, false);
		assertTrue(with.mean() < 0.9 * without.mean() && with.percentile() < 0.75 * without.percentile(),
				with + " against " + without);
	}

	/**
	 * Guards against servers that mislead the placement with their figures.
	 * @param figure what all servers report
	 */
	@Test(dataProvider = "misleadingFigures")
	public void aMisleadingFigureLengthensRequestsByLittle(SlowMachineSimulation.Figure figure) {
		this.withoutFigure.forEach((load, without) -> {
			Times with = load.play(figure, false);
			assertTrue(
					with.mean() <= MEAN_MARGIN * without.mean()
							&& with.percentile() <= PERCENTILE_MARGIN * without.percentile(),
					load + ": " + with + " against " + without);
		});
	}

	/**
	 * Guards against a reason to ask servers for their figure, which design note 67
	 * decides against, that goes unnoticed.
	 */
	@Test
	public void askingBeforeEachRequestGainsLittleWhereObjectsAreWarm() {
		Times with = WARM_OBJECTS.play(TRUE, true);
		assertTrue(with.mean() > 0.95 * this.withoutFigure.get(WARM_OBJECTS).mean(),
				with + " against " + this.withoutFigure);
	}

	private static SlowMachineSimulation.Figure figure(SlowMachineSimulation.Figure figure) {
		return figure;
	}

	private record Times(double mean, double percentile) {
	}

	private record Load(boolean sticky, double workMillis, boolean decidedAtStart, int gateways) {

		private Times play(SlowMachineSimulation.Figure figure, boolean asked) {
			double perSecond = 52_000 / (this.workMillis * (this.sticky ? 0.45 : 1));
			List<List<Double>> runs = LongStream.rangeClosed(1, 4).mapToObj((seed) -> {
				SlowMachineSimulation simulation = new SlowMachineSimulation(seed, figure, this.sticky, this.workMillis,
						this.gateways);
				if (this.decidedAtStart) {
					simulation.decideAtStart();
				}
				if (asked) {
					simulation.askBeforeEachRequest();
				}
				return simulation.run((int) Math.max(30, 2_500 / perSecond), perSecond);
			}).toList();
			return new Times(
					runs.stream().flatMap(List::stream).mapToDouble(Double::doubleValue).average().orElseThrow(),
					runs.stream().mapToDouble((run) -> run.get((int) (run.size() * 0.95))).average().orElseThrow());
		}

	}

}
