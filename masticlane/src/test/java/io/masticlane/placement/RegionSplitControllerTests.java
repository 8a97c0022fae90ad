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
	public void theShareStartsByTheRegionsPartOfTheSlots() {
		RegionSplitController share = new RegionSplitController("own");
		share.update(loads(18, 252, 3, 0), List.of(), 0);
		assertTrue(share.localFraction() > 0.2 && share.localFraction() < 0.35, "share " + share.localFraction());
	}

	@Test
	public void aLoadThatJumpsMovesFewObjectsWithinTheWindowOfTheCap() {
		RegionSplitController share = new RegionSplitController("own");
		share.update(loads(100, 252, 3, 0.6), List.of(), 0);
		long before = held(share);
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> share.update(loads(100, 252, 3, 5), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(before - held(share) <= 0.08 * 10_000, "moved " + (before - held(share)));
	}

	@Test
	public void aShareIsNotKeptFromTheFirstServersHeardOf() {
		RegionSplitController share = new RegionSplitController("own");
		share.update(loads(18, 36, 2, 0), List.of(), 0);
		share.update(loads(18, 252, 3, 0), List.of(), TimeUnit.MILLISECONDS.toNanos(250));
		assertTrue(share.localFraction() > 0.2 && share.localFraction() < 0.35, "share " + share.localFraction());
	}

	@Test
	public void serversThatJoinUnderTrafficMoveFewObjectsWithinTheWindowOfTheCap() {
		RegionSplitController share = new RegionSplitController("own");
		share.update(loads(36, 252, 3, 0.7), List.of(), 0);
		double before = share.localFraction();
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> share.update(loads(126, 342, 3, 0.7), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(share.localFraction() > before && share.localFraction() - before <= 0.08,
				"moved " + (share.localFraction() - before));
	}

	@Test
	public void nothingIsLearntWithoutTraffic() {
		RegionSplitController share = new RegionSplitController("own");
		share.update(loads(18, 252, 3, 0), List.of(), 0);
		double before = share.localFraction();
		share.update(loads(18, 252, 3, 0), List.of(), TimeUnit.SECONDS.toNanos(13));
		assertEquals(share.localFraction(), before);
	}

	@Test
	public void anObjectThatIsServedByTheRegionStaysWhenTheShareGrows() {
		RegionSplitController share = new RegionSplitController("own");
		share.update(loads(50, 252, 3, 0.6), List.of(), 0);
		long[] held = LongStream.range(0, 1_000)
			.map((object) -> Rendezvous.hash("o" + object))
			.filter((object) -> share.split().isServedLocally(object, 0))
			.toArray();
		share.update(loads(50, 252, 3, 0.3), List.of(), TimeUnit.SECONDS.toNanos(5));
		assertEquals(LongStream.of(held).filter((object) -> share.split().isServedLocally(object, 0)).count(),
				held.length);
	}

	@Test
	public void serversThatJoinElsewhereMoveFewObjectsBetweenTheOtherRegions() {
		RegionSplitController shares = new RegionSplitController("north");
		shares.update(Map.of("north", new RegionLoad(9, 18), "west", new RegionLoad(50, 108), "east",
				new RegionLoad(60, 126)), List.of(), 0);
		Map<String, Double> before = shares.split().others();
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> shares.update(Map.of("north", new RegionLoad(9, 18), "west", new RegionLoad(50, 108),
					"east", new RegionLoad(60, 252)), List.of(), step * CAP_WINDOW_NANOS / 8));
		double moved = (shares.split().others().get("east") - before.get("east")) * (1 - shares.localFraction());
		assertTrue(moved > 0 && moved <= 0.05, "moved " + moved);
	}

	@Test
	public void theOtherRegionsSettleByTheirSpareSlots() {
		RegionSplitController shares = new RegionSplitController("north");
		LongStream.range(0, 200)
			.forEach(
					(step) -> shares.update(
							Map.of("north", new RegionLoad(9, 18), "west",
									new RegionLoad(50, 108 + ((step > 10) ? 90 : 0)), "east", new RegionLoad(60, 126)),
							List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(shares.split().others().get("west") > 0.6, shares.split().others().toString());
	}

	@Test
	public void anObjectThatMovesTakesItsRequestsAlongInParts() {
		RegionSplit before = RegionSplit.allLocal("own").withLocalFraction(0.3);
		RegionSplit after = Stream.iterate(before, (each) -> each.stepTowards(before.withLocalFraction(0.8), 0.25))
			.limit(9)
			.reduce(before, (former, next) -> next);
		double largest = IntStream.range(0, 300)
			.mapToObj((object) -> Rendezvous.hash("o" + object))
			.mapToDouble((object) -> served(after, object) - served(before, object))
			.max()
			.orElseThrow();
		assertTrue(largest > 0.1 && largest <= 0.5, "moved " + largest + " of an object's requests");
	}

	@Test
	public void aProcessThatStoodStillMakesUpForLittle() {
		RegionSplit before = new RegionSplit("own", 0.3, Map.of("west", 1.0));
		RegionSplit after = before.stepTowards(new RegionSplit("own", 0.9, Map.of("east", 1.0)), 10);
		assertTrue(after.localFraction() <= 0.32, "own " + after.localFraction());
		assertTrue(after.others().get("east") <= 0.03, after.others().toString());
	}

	@Test
	public void aWholeShareServesEveryRequestAndAnEmptyOneNone() {
		long object = Rendezvous.hash("o1");
		assertEquals(served(RegionSplit.allLocal("own"), object), 1.0);
		assertEquals(served(RegionSplit.allLocal("own").withLocalFraction(0), object), 0.0);
	}

	private static double served(RegionSplit division, long object) {
		return IntStream.range(0, 1_000).filter((request) -> division.isServedLocally(object, request)).count()
				/ 1_000.0;
	}

	@Test
	public void aShareThatFellToZeroGrowsAgain() {
		RegionSplitController share = new RegionSplitController("own");
		share.update(loads(18, 252, 3, 0.6), List.of(), 0);
		LongStream.rangeClosed(1, 200)
			.forEach((step) -> share.update(loads(18, 252, 3, 2), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertEquals(share.localFraction(), 0.0);
		Map<String, RegionLoad> unused = new HashMap<>(loads(18, 252, 3, 0.6));
		unused.put("own", new RegionLoad(0, 18));
		share.update(unused, List.of(), 201 * CAP_WINDOW_NANOS / 8);
		assertTrue(share.localFraction() > 0, "share " + share.localFraction());
	}

	@Test
	public void aGatewayThatStartsUnderTrafficTakesTheShareOfTheOthers() {
		RegionSplitController share = new RegionSplitController("own");
		share.update(loads(18, 252, 3, 0), List.of(0.6, 0.8), 0);
		assertEquals(share.localFraction(), 0.7, 0.001);
	}

	@Test
	public void theGatewaysOfARegionComeTogetherInSmallSteps() {
		RegionSplitController one = new RegionSplitController("own");
		RegionSplitController other = new RegionSplitController("own");
		one.update(loads(18, 252, 3, 0.7), List.of(), 0);
		other.update(loads(90, 252, 3, 0.7), List.of(), 0);
		double apart = other.localFraction() - one.localFraction();
		LongStream.rangeClosed(1, 120).forEach((step) -> {
			double former = one.localFraction();
			one.update(loads(18, 252, 3, 0.7), List.of(other.localFraction()), step * CAP_WINDOW_NANOS / 8);
			other.update(loads(90, 252, 3, 0.7), List.of(former), step * CAP_WINDOW_NANOS / 8);
			assertTrue(Math.abs(one.localFraction() - former) <= 0.0051, "step of " + (one.localFraction() - former));
		});
		assertTrue(apart > 0.5 && Math.abs(other.localFraction() - one.localFraction()) < 0.01,
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

	private static long held(RegionSplitController share) {
		return IntStream.range(0, 10_000)
			.filter((object) -> share.split().isServedLocally(Rendezvous.hash("o" + object), object))
			.count();
	}

}
