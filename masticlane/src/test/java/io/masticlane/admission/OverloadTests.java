package io.masticlane.admission;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OverloadTests {

	private static final long TICK = TimeUnit.MILLISECONDS.toNanos(250);

	private static final Room QUEUES = new Room(312, 100, 160);

	private static final List<OverloadModel.Load> ARENA = List.of(
			new OverloadModel.Load("live", 0, 274, 876, 548, 4_383, 3.5, 0.28, 100),
			new OverloadModel.Load("bulk", 1, 99.2, 1_791, 1_339, 11_157, 0.92, 0.18, 100));

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L } };
	}

	/**
	 * Guards against bulk requests taking the slots of urgent ones in a burst, against an
	 * organisation that is starved, and against a gain for one that costs all together.
	 */
	@Test(dataProvider = "seeds")
	public void aBurstCostsTheLessUrgentRequestsFirstAndStarvesNobody(long seed) {
		OverloadModel before = arena(seed, false, 2.5);
		OverloadModel after = arena(seed, true, 2.5);
		double live = 1 - after.fraction("live", 2);
		double bulk = 1 - after.fraction("bulk", 2);
		assertTrue(live >= bulk, "live " + live + ", bulk " + bulk);
		assertTrue(after.fraction("live", 0) >= before.fraction("live", 0) + 0.05);
		assertTrue(bulk >= live / 4, "live " + live + ", bulk " + bulk);
		assertTrue(1 - after.fraction("org", 2) >= live / 4, "refused: " + after.fraction("org", 2));
		assertTrue(after.value(ARENA) >= before.value(ARENA), after.value(ARENA) + ", was " + before.value(ARENA));
	}

	/**
	 * Guards against requests refused although the servers have room.
	 */
	@Test
	public void theUsualDemandIsNotRefused() {
		OverloadModel model = arena(3, true, 1);
		assertTrue(model.fraction("live", 2) <= 0.005, "live " + model.fraction("live", 2));
		assertTrue(model.fraction("bulk", 2) <= 0.005, "bulk " + model.fraction("bulk", 2));
	}

	/**
	 * Guards against gateways that reject for each other: a gateway that is stricter for
	 * any reason must not remain so while another admits all.
	 */
	@Test
	public void levelsOfGatewaysApproachEachOther() {
		OverloadLevel one = new OverloadLevel();
		OverloadLevel other = new OverloadLevel();
		IntStream.range(1, 20).forEach((tick) -> one.update(QUEUES, 548, 500, tick * TICK));
		assertTrue(one.value() < 0.5, "one: " + one.value());
		IntStream.range(20, 60).forEach((tick) -> {
			one.update(QUEUES, 548, 500, tick * TICK);
			other.update(QUEUES, 548, 500, tick * TICK);
		});
		assertEquals(one.value(), other.value(), 0.02);
	}

	/**
	 * Guards against a gateway that keeps rejecting when it hears nothing more.
	 */
	@Test
	public void withoutReportsTheLevelReturnsGradually() {
		OverloadLevel level = new OverloadLevel();
		IntStream.range(1, 20).forEach((tick) -> level.update(QUEUES, 548, 500, tick * TICK));
		double before = level.value();
		level.update(Room.NONE, 548, 500, 20 * TICK);
		assertTrue(level.value() < before + 0.05);
		IntStream.range(21, 62).forEach((tick) -> level.update(Room.NONE, 548, 500, tick * TICK));
		assertEquals(level.value(), 1.0);
	}

	/**
	 * Guards against a less urgent kind with a larger fraction, and one below the floor.
	 */
	@Test
	public void fractionsFollowTheOrderAndKeepTheFloor() {
		Demand demand = new Demand();
		List<Arrival.Kind> order = List.of(new Arrival.Kind(0, false, "a"), new Arrival.Kind(0, true, "a"),
				new Arrival.Kind(1, false, "short"), new Arrival.Kind(1, false, "long"),
				new Arrival.Kind(1, true, "short"));
		order.forEach((kind) -> demand.record(arrival(kind, "x", kind.route().equals("long") ? 900 : 300, false)));
		for (double level = 0.15; level <= 1; level += 0.05) {
			Map<Arrival.Kind, Double> fractions = KindFractions.divide(level, 0.15, demand.inOrder());
			List<Double> inOrder = order.stream().map(fractions::get).toList();
			assertEquals(inOrder, inOrder.stream().sorted((one, other) -> Double.compare(other, one)).toList());
			assertTrue(inOrder.get(4) >= 0.15, "level " + level + ": " + inOrder);
		}
	}

	/**
	 * Guards against unbounded memory, refusals at free slots, and small organisations
	 * that are refused by chance.
	 */
	@Test
	public void creditsAreBoundedAndAdmitEachOrganisationEvenly() {
		Credits credits = new Credits(() -> 0.5);
		Arrival.Kind kind = new Arrival.Kind(1, false, "bulk");
		long admitted = IntStream.range(0, 20)
			.filter((each) -> credits.admit(arrival(kind, "x", 1, false), 0.2))
			.count();
		assertEquals(admitted, 4);
		IntStream.range(0, 10_000).forEach((each) -> credits.admit(arrival(kind, "org" + each, 1, false), 0.2));
		assertEquals(credits.size(), Credits.CAPACITY);
		assertTrue(credits.admit(arrival(kind, "y", 1, true), 0));
	}

	private static Arrival arrival(Arrival.Kind kind, String organisation, double workMillis, boolean slotFree) {
		return new Arrival(kind, organisation, kind.priority(), workMillis, 548, slotFree, 1.5);
	}

	private static OverloadModel arena(long seed, boolean controlled, double factor) {
		return run(new OverloadModel(seed, 39, 8, 6, controlled), ARENA, factor);
	}

	private static OverloadModel run(OverloadModel model, List<OverloadModel.Load> loads, double factor) {
		model.run(loads, 12, 5, (second) -> factor);
		return model;
	}

}
