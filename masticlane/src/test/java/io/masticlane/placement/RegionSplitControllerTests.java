package io.masticlane.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RegionSplitControllerTests {

	private static final long CAP_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	@Test
	public void theLocalFractionStartsFromTheRegionsSlots() {
		RegionSplitController controller = new RegionSplitController("own");
		controller.update(loads(18, 252, 3, 0), List.of(), 0);
		assertTrue(controller.localFraction() > 0.2 && controller.localFraction() < 0.35,
				"local fraction " + controller.localFraction());
	}

	@Test
	public void aSuddenLoadIncreaseMovesFewObjectsWithinTheCapWindow() {
		RegionSplitController controller = new RegionSplitController("own");
		controller.update(loads(100, 252, 3, 0.6), List.of(), 0);
		long before = countLocal(controller);
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> controller.update(loads(100, 252, 3, 5), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(before - countLocal(controller) <= 0.08 * 10_000, "moved " + (before - countLocal(controller)));
	}

	@Test
	public void theLocalFractionOfTheFirstKnownServersIsNotKept() {
		RegionSplitController controller = new RegionSplitController("own");
		controller.update(loads(18, 36, 2, 0), List.of(), 0);
		controller.update(loads(18, 252, 3, 0), List.of(), TimeUnit.MILLISECONDS.toNanos(250));
		assertTrue(controller.localFraction() > 0.2 && controller.localFraction() < 0.35,
				"local fraction " + controller.localFraction());
	}

	@Test
	public void serversThatJoinUnderTrafficMoveFewObjectsWithinTheCapWindow() {
		RegionSplitController controller = new RegionSplitController("own");
		controller.update(loads(36, 252, 3, 0.7), List.of(), 0);
		double before = controller.localFraction();
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> controller.update(loads(126, 342, 3, 0.7), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(controller.localFraction() > before && controller.localFraction() - before <= 0.08,
				"moved " + (controller.localFraction() - before));
	}

	@Test
	public void theLocalFractionDoesNotChangeWithoutTraffic() {
		RegionSplitController controller = new RegionSplitController("own");
		controller.update(loads(18, 252, 3, 0), List.of(), 0);
		double before = controller.localFraction();
		controller.update(loads(18, 252, 3, 0), List.of(), TimeUnit.SECONDS.toNanos(13));
		assertEquals(controller.localFraction(), before);
	}

	@Test
	public void anObjectServedLocallyStaysWhenTheLocalFractionGrows() {
		RegionSplitController controller = new RegionSplitController("own");
		controller.update(loads(50, 252, 3, 0.6), List.of(), 0);
		long[] local = LongStream.range(0, 1_000)
			.map((object) -> Rendezvous.hash("o" + object))
			.filter((object) -> controller.split().isServedLocally(object, 0))
			.toArray();
		controller.update(loads(50, 252, 3, 0.3), List.of(), TimeUnit.SECONDS.toNanos(5));
		assertEquals(LongStream.of(local).filter((object) -> controller.split().isServedLocally(object, 0)).count(),
				local.length);
	}

	@Test
	public void serversThatJoinElsewhereMoveFewObjectsBetweenTheOtherRegions() {
		RegionSplitController controller = new RegionSplitController("north");
		controller.update(Map.of("north", new RegionLoad(9, 18), "west", new RegionLoad(50, 108), "east",
				new RegionLoad(60, 126)), List.of(), 0);
		Map<String, Double> before = controller.split().others();
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> controller.update(Map.of("north", new RegionLoad(9, 18), "west", new RegionLoad(50, 108),
					"east", new RegionLoad(60, 252)), List.of(), step * CAP_WINDOW_NANOS / 8));
		double moved = (controller.split().others().get("east") - before.get("east"))
				* (1 - controller.localFraction());
		assertTrue(moved > 0 && moved <= 0.05, "moved " + moved);
	}

	@Test
	public void theOtherRegionsConvergeToTheirSpareSlots() {
		RegionSplitController controller = new RegionSplitController("north");
		LongStream.range(0, 200)
			.forEach(
					(step) -> controller.update(
							Map.of("north", new RegionLoad(9, 18), "west",
									new RegionLoad(50, 108 + ((step > 10) ? 90 : 0)), "east", new RegionLoad(60, 126)),
							List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(controller.split().others().get("west") > 0.6, controller.split().others().toString());
	}

	@Test
	public void theRequestsOfAMovingObjectMoveGradually() {
		RegionSplit before = RegionSplit.allLocal("own").withLocalFraction(0.3);
		RegionSplit after = Stream.iterate(before, (each) -> each.stepTowards(before.withLocalFraction(0.8), 0.25))
			.limit(9)
			.reduce(before, (previous, next) -> next);
		double largest = IntStream.range(0, 300)
			.mapToObj((object) -> Rendezvous.hash("o" + object))
			.mapToDouble((object) -> servedFraction(after, object) - servedFraction(before, object))
			.max()
			.orElseThrow();
		assertTrue(largest > 0.1 && largest <= 0.5, "moved " + largest + " of an object's requests");
	}

	@Test
	public void aProcessThatWasPausedCatchesUpInASmallStep() {
		RegionSplit before = new RegionSplit("own", 0.3, Map.of("west", 1.0));
		RegionSplit after = before.stepTowards(new RegionSplit("own", 0.9, Map.of("east", 1.0)), 10);
		assertTrue(after.localFraction() <= 0.32, "local fraction " + after.localFraction());
		assertTrue(after.others().get("east") <= 0.03, after.others().toString());
	}

	@Test
	public void aLocalFractionOfOneServesEveryRequestAndZeroServesNone() {
		long object = Rendezvous.hash("o1");
		assertEquals(servedFraction(RegionSplit.allLocal("own"), object), 1.0);
		assertEquals(servedFraction(RegionSplit.allLocal("own").withLocalFraction(0), object), 0.0);
	}

	private static double servedFraction(RegionSplit split, long object) {
		return IntStream.range(0, 1_000).filter((request) -> split.isServedLocally(object, request)).count() / 1_000.0;
	}

	@Test
	public void aLocalFractionThatFellToZeroGrowsAgain() {
		RegionSplitController controller = new RegionSplitController("own");
		controller.update(loads(18, 252, 3, 0.6), List.of(), 0);
		LongStream.rangeClosed(1, 200)
			.forEach((step) -> controller.update(loads(18, 252, 3, 2), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertEquals(controller.localFraction(), 0.0);
		Map<String, RegionLoad> unused = new HashMap<>(loads(18, 252, 3, 0.6));
		unused.put("own", new RegionLoad(0, 18));
		controller.update(unused, List.of(), 201 * CAP_WINDOW_NANOS / 8);
		assertTrue(controller.localFraction() > 0, "local fraction " + controller.localFraction());
	}

	@Test
	public void aGatewayThatStartsUnderTrafficAdoptsTheMeanOfTheOthers() {
		RegionSplitController controller = new RegionSplitController("own");
		controller.update(loads(18, 252, 3, 0), List.of(0.6, 0.8), 0);
		assertEquals(controller.localFraction(), 0.7, 0.001);
	}

	@Test
	public void theGatewaysOfARegionConvergeInSmallSteps() {
		RegionSplitController one = new RegionSplitController("own");
		RegionSplitController other = new RegionSplitController("own");
		one.update(loads(18, 252, 3, 0.7), List.of(), 0);
		other.update(loads(90, 252, 3, 0.7), List.of(), 0);
		double difference = other.localFraction() - one.localFraction();
		LongStream.rangeClosed(1, 120).forEach((step) -> {
			double previous = one.localFraction();
			one.update(loads(18, 252, 3, 0.7), List.of(other.localFraction()), step * CAP_WINDOW_NANOS / 8);
			other.update(loads(90, 252, 3, 0.7), List.of(previous), step * CAP_WINDOW_NANOS / 8);
			assertTrue(Math.abs(one.localFraction() - previous) <= 0.0051,
					"step of " + (one.localFraction() - previous));
		});
		assertTrue(difference > 0.5 && Math.abs(other.localFraction() - one.localFraction()) < 0.01,
				one.localFraction() + " and " + other.localFraction());
	}

	private static Map<String, RegionLoad> loads(double own, double all, int regions, double load) {
		Map<String, RegionLoad> loads = new HashMap<>();
		loads.put("own", new RegionLoad(load * own, own));
		double others = (all - own) / (regions - 1);
		IntStream.range(1, regions)
			.forEach((each) -> loads.put("other-" + each, new RegionLoad(load * others, others)));
		return loads;
	}

	private static long countLocal(RegionSplitController controller) {
		return IntStream.range(0, 10_000)
			.filter((object) -> controller.split().isServedLocally(Rendezvous.hash("o" + object), object))
			.count();
	}

}
