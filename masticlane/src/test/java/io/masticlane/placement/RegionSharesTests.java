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

public class RegionSharesTests {

	private static final long CAP_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	@Test
	public void theShareStartsByTheRegionsPartOfTheSlots() {
		RegionShares share = new RegionShares("own");
		share.update(loads(18, 252, 3, 0), List.of(), 0);
		assertTrue(share.own() > 0.2 && share.own() < 0.35, "share " + share.own());
	}

	@Test
	public void aLoadThatJumpsMovesFewObjectsWithinTheWindowOfTheCap() {
		RegionShares share = new RegionShares("own");
		share.update(loads(100, 252, 3, 0.6), List.of(), 0);
		long before = held(share);
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> share.update(loads(100, 252, 3, 5), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(before - held(share) <= 0.08 * 10_000, "moved " + (before - held(share)));
	}

	@Test
	public void aShareIsNotKeptFromTheFirstServersHeardOf() {
		RegionShares share = new RegionShares("own");
		share.update(loads(18, 36, 2, 0), List.of(), 0);
		share.update(loads(18, 252, 3, 0), List.of(), TimeUnit.MILLISECONDS.toNanos(250));
		assertTrue(share.own() > 0.2 && share.own() < 0.35, "share " + share.own());
	}

	@Test
	public void serversThatJoinUnderTrafficMoveFewObjectsWithinTheWindowOfTheCap() {
		RegionShares share = new RegionShares("own");
		share.update(loads(36, 252, 3, 0.7), List.of(), 0);
		double before = share.own();
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> share.update(loads(126, 342, 3, 0.7), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(share.own() > before && share.own() - before <= 0.08, "moved " + (share.own() - before));
	}

	@Test
	public void nothingIsLearntWithoutTraffic() {
		RegionShares share = new RegionShares("own");
		share.update(loads(18, 252, 3, 0), List.of(), 0);
		double before = share.own();
		share.update(loads(18, 252, 3, 0), List.of(), TimeUnit.SECONDS.toNanos(13));
		assertEquals(share.own(), before);
	}

	@Test
	public void anObjectThatIsServedByTheRegionStaysWhenTheShareGrows() {
		RegionShares share = new RegionShares("own");
		share.update(loads(50, 252, 3, 0.6), List.of(), 0);
		long[] held = LongStream.range(0, 1_000)
			.map((object) -> Rendezvous.hash("o" + object))
			.filter((object) -> share.division().servesItself(object, 0))
			.toArray();
		share.update(loads(50, 252, 3, 0.3), List.of(), TimeUnit.SECONDS.toNanos(5));
		assertEquals(LongStream.of(held).filter((object) -> share.division().servesItself(object, 0)).count(),
				held.length);
	}

	@Test
	public void serversThatJoinElsewhereMoveFewObjectsBetweenTheOtherRegions() {
		RegionShares shares = new RegionShares("north");
		shares.update(Map.of("north", new RegionLoad(9, 18), "west", new RegionLoad(50, 108), "east",
				new RegionLoad(60, 126)), List.of(), 0);
		Map<String, Double> before = shares.division().others();
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> shares.update(Map.of("north", new RegionLoad(9, 18), "west", new RegionLoad(50, 108),
					"east", new RegionLoad(60, 252)), List.of(), step * CAP_WINDOW_NANOS / 8));
		double moved = (shares.division().others().get("east") - before.get("east")) * (1 - shares.own());
		assertTrue(moved > 0 && moved <= 0.05, "moved " + moved);
	}

	@Test
	public void theOtherRegionsSettleByTheirSpareSlots() {
		RegionShares shares = new RegionShares("north");
		LongStream.range(0, 200)
			.forEach(
					(step) -> shares.update(
							Map.of("north", new RegionLoad(9, 18), "west",
									new RegionLoad(50, 108 + ((step > 10) ? 90 : 0)), "east", new RegionLoad(60, 126)),
							List.of(), step * CAP_WINDOW_NANOS / 8));
		assertTrue(shares.division().others().get("west") > 0.6, shares.division().others().toString());
	}

	@Test
	public void anObjectThatMovesTakesItsRequestsAlongInParts() {
		RegionDivision before = RegionDivision.whole("own").withOwn(0.3);
		RegionDivision after = Stream.iterate(before, (each) -> each.towards(before.withOwn(0.8), 0.25))
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
		RegionDivision before = new RegionDivision("own", 0.3, Map.of("west", 1.0));
		RegionDivision after = before.towards(new RegionDivision("own", 0.9, Map.of("east", 1.0)), 10);
		assertTrue(after.own() <= 0.32, "own " + after.own());
		assertTrue(after.others().get("east") <= 0.03, after.others().toString());
	}

	@Test
	public void aWholeShareServesEveryRequestAndAnEmptyOneNone() {
		long object = Rendezvous.hash("o1");
		assertEquals(served(RegionDivision.whole("own"), object), 1.0);
		assertEquals(served(RegionDivision.whole("own").withOwn(0), object), 0.0);
	}

	private static double served(RegionDivision division, long object) {
		return IntStream.range(0, 1_000).filter((request) -> division.servesItself(object, request)).count() / 1_000.0;
	}

	@Test
	public void aShareThatFellToZeroGrowsAgain() {
		RegionShares share = new RegionShares("own");
		share.update(loads(18, 252, 3, 0.6), List.of(), 0);
		LongStream.rangeClosed(1, 200)
			.forEach((step) -> share.update(loads(18, 252, 3, 2), List.of(), step * CAP_WINDOW_NANOS / 8));
		assertEquals(share.own(), 0.0);
		Map<String, RegionLoad> unused = new HashMap<>(loads(18, 252, 3, 0.6));
		unused.put("own", new RegionLoad(0, 18));
		share.update(unused, List.of(), 201 * CAP_WINDOW_NANOS / 8);
		assertTrue(share.own() > 0, "share " + share.own());
	}

	@Test
	public void aGatewayThatStartsUnderTrafficTakesTheShareOfTheOthers() {
		RegionShares share = new RegionShares("own");
		share.update(loads(18, 252, 3, 0), List.of(0.6, 0.8), 0);
		assertEquals(share.own(), 0.7, 0.001);
	}

	@Test
	public void theGatewaysOfARegionComeTogetherInSmallSteps() {
		RegionShares one = new RegionShares("own");
		RegionShares other = new RegionShares("own");
		one.update(loads(18, 252, 3, 0.7), List.of(), 0);
		other.update(loads(90, 252, 3, 0.7), List.of(), 0);
		double apart = other.own() - one.own();
		LongStream.rangeClosed(1, 120).forEach((step) -> {
			double former = one.own();
			one.update(loads(18, 252, 3, 0.7), List.of(other.own()), step * CAP_WINDOW_NANOS / 8);
			other.update(loads(90, 252, 3, 0.7), List.of(former), step * CAP_WINDOW_NANOS / 8);
			assertTrue(Math.abs(one.own() - former) <= 0.0051, "step of " + (one.own() - former));
		});
		assertTrue(apart > 0.5 && Math.abs(other.own() - one.own()) < 0.01, one.own() + " and " + other.own());
	}

	private static Map<String, RegionLoad> loads(double own, double all, int regions, double load) {
		Map<String, RegionLoad> loads = new HashMap<>();
		loads.put("own", new RegionLoad(load * own, own));
		double others = (all - own) / (regions - 1);
		IntStream.range(1, regions)
			.forEach((each) -> loads.put("other-" + each, new RegionLoad(load * others, others)));
		return loads;
	}

	private static long held(RegionShares share) {
		return IntStream.range(0, 10_000)
			.filter((object) -> share.division().servesItself(Rendezvous.hash("o" + object), object))
			.count();
	}

}
