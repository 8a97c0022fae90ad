package io.masticlane.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class HostSelectionTests {

	private static final HostCapacity LARGE = new HostCapacity(1.5, 682, 140);

	private static final HostCapacity SMALL = new HostCapacity(0.21, 282, 7);

	private static final List<Gateway> ARENA = deployment((dataCentre) -> Stream
		.concat(Stream.of(LARGE, new HostCapacity(1.5, 640, 140)), IntStream.range(0, (dataCentre % 3 == 0) ? 3 : 4)
			.mapToObj((host) -> new HostCapacity(0.69 + 0.03 * host, 543, 7 + 0.25 * host))));

	private static final List<Gateway> BROKERS = deployment(
			(dataCentre) -> capacities(2, LARGE, (dataCentre % 3 == 1) ? 15 : 14, SMALL));

	private static final List<Gateway> ALIKE = deployment((dataCentre) -> capacities(2, SMALL, 6, SMALL));

	/** Guards against callers on links of 7 Mbit/s while links of 140 Mbit/s are idle. */
	@Test
	public void theLargeHostsOfTheDataCentreAreNamedWithOneInTheOtherAsReserve() {
		for (List<Gateway> members : List.of(ARENA, BROKERS)) {
			assertTrue(names(without("r0-a", members, "")).matches("r0-a-00 r0-a-01 r0-b-0[01]"));
			assertTrue(names(without("r2-b", members, "")).matches("r2-a-0[01] r2-b-00 r2-b-01"));
		}
	}

	/**
	 * Guards against links that need many times the part that all links need together,
	 * for traffic that is equal from all data centres and 140 Mbit/s in total.
	 */
	@Test
	public void theBusiestLinkNeedsLessThanBeforeAndAThirdMoreThanTheMeanOfTheNamedOnes() {
		Map.of(ARENA, 0.606, BROKERS, 0.208).forEach((members, before) -> {
			assertEquals(busiest(members,
					(dataCentre) -> members.stream().filter((host) -> dataCentre.startsWith(host.region())).toList()),
					before, 0.001);
			assertEquals(busiest(members, (dataCentre) -> without(dataCentre, members, "")), 4.0 / 3 / 12, 0.001);
		});
	}

	/**
	 * Guards against a single host, or small ones, for a data centre that lost large
	 * hosts.
	 */
	@Test
	public void aDataCentreThatLosesLargeHostsUsesThoseOfItsRegionBeforeSmallOnes() {
		assertEquals(without("r0-a", BROKERS, "r0-.-07"), without("r0-a", BROKERS, ""));
		assertEquals(names(without("r0-a", BROKERS, "r0-a-00")), "r0-a-01 r0-b-00 r0-b-01");
		assertEquals(names(without("r0-a", BROKERS, "r0-a-0[01]")), "r0-b-00 r0-b-01");
		assertEquals(names(without("r0-a", BROKERS, "r0-a-.*")), "r0-b-00 r0-b-01");
		assertEquals(names(without("r0-a", BROKERS, "r0-.*")),
				"r1-a-00 r1-a-01 r1-b-00 r1-b-01 r2-a-00 r2-a-01 r2-b-00 r2-b-01");
		assertEquals(without("r0-a", BROKERS, "r0-.-0[01]").size(), 14 + 7);
		assertEquals(names(without("r0-a", BROKERS, "(?!r0-a-07).*")), "r0-a-07");
	}

	/**
	 * Guards against cached answers of which no host is left when a data centre fails.
	 */
	@Test
	public void anAnswerNamesHostsOutsideItsDataCentre() {
		for (List<Gateway> members : List.of(ARENA, BROKERS, ALIKE)) {
			assertTrue(names(without("r1-b", members, "")).contains("r1-a-"));
		}
	}

	/**
	 * Guards against too few or small hosts, and answers that depend on the host asked.
	 */
	@Test
	public void withAThirdOfTheHostsGoneLargeOnesAreNamedWhileTheRegionHasTwoInWhicheverOrderTheyAreKnown() {
		for (int seed = 0; seed < 200; seed++) {
			List<Gateway> shuffled = new ArrayList<>(BROKERS);
			Collections.shuffle(shuffled, new Random(seed));
			List<Gateway> left = shuffled.subList(0, BROKERS.size() * 2 / 3);
			List<Gateway> sorted = BROKERS.stream().filter(left::contains).toList();
			for (String dataCentre : List.of("r0-a", "r1-b", "r2-a")) {
				List<Gateway> named = select(dataCentre, left, BROKERS);
				assertEquals(named, select(dataCentre, sorted, BROKERS));
				assertTrue(named.size() >= HostSelection.MINIMUM_HOSTS, "seed " + seed);
				boolean enough = left.stream()
					.filter((host) -> host.capacity().equals(LARGE) && dataCentre.startsWith(host.region()))
					.count() >= HostSelection.MINIMUM_HOSTS;
				assertEquals(named.stream().allMatch((host) -> host.capacity().equals(LARGE)), enough, "seed " + seed);
			}
		}
	}

	/**
	 * Guards against small differences, missing figures or older versions that exclude
	 * hosts.
	 */
	@Test
	public void alikeHostsAndThoseOfUnknownCapacityAreAllNamedWithHalfAsManyOutside() {
		assertEquals(without("r0-a", ALIKE, "").size(), 8 + 4);
		assertEquals(without("r0-a", ALIKE, "r0-a-0[67]").size(), 6 + 3);
		assertEquals(without("r0-a", deployment((any) -> capacities(2, HostCapacity.UNKNOWN, 2, LARGE)), "").size(),
				4 + 2);
		assertEquals(without("r0-a",
				deployment(
						(any) -> IntStream.range(0, 4).mapToObj((host) -> new HostCapacity(0.81 - 0.04 * host, 0, 0))),
				"")
			.size(), 4 + 2);
	}

	/**
	 * Guards against answers above the limit of callers, which cut them or reject them.
	 */
	@Test
	public void atMostSixtyFourHostsAreNamed() {
		List<Gateway> many = deployment((any) -> capacities(40, LARGE, 60, LARGE));
		assertEquals(without("r0-a", many, "").size(), 42 + 21);
		assertEquals(without("elsewhere", many, "").size(), 64);
	}

	private static List<Gateway> without(String dataCentre, List<Gateway> members, String lostHosts) {
		return select(dataCentre, members.stream().filter((host) -> !host.host().matches(lostHosts)).toList(), members);
	}

	private static List<Gateway> select(String dataCentre, List<Gateway> available, List<Gateway> members) {
		return HostSelection.select(dataCentre.substring(0, 2), dataCentre, available,
				HostCapacity.largest(members.stream().map(Gateway::capacity)));
	}

	private static double busiest(List<Gateway> members, Function<String, List<Gateway>> directory) {
		Map<Gateway, Double> use = new TreeMap<>((one, other) -> one.host().compareTo(other.host()));
		List<String> dataCentres = members.stream().map(Gateway::dataCentre).distinct().toList();
		dataCentres.stream()
			.map(directory)
			.forEach((named) -> named.forEach((host) -> use.merge(host,
					140 / host.capacity().bandwidthMegabits() / dataCentres.size() / named.size(), Double::sum)));
		return Collections.max(use.values());
	}

	private static String names(List<Gateway> hosts) {
		return String.join(" ", hosts.stream().map(Gateway::host).toList());
	}

	private static Stream<HostCapacity> capacities(int first, HostCapacity one, int second, HostCapacity other) {
		return Stream.concat(Stream.generate(() -> one).limit(first), Stream.generate(() -> other).limit(second));
	}

	private static List<Gateway> deployment(IntFunction<Stream<HostCapacity>> capacities) {
		List<Gateway> gateways = new ArrayList<>();
		for (int index = 0; index < 6; index++) {
			String region = "r" + index / 2;
			String dataCentre = region + ((index % 2 == 0) ? "-a" : "-b");
			capacities.apply(index)
				.forEach((capacity) -> gateways.add(new Gateway(
						String.format("%s-%02d", dataCentre,
								gateways.stream().filter((host) -> host.dataCentre().equals(dataCentre)).count()),
						"1", dataCentre, region, new InetSocketAddress("127.0.0.1", 1),
						new InetSocketAddress("127.0.0.1", 2), false, capacity)));
		}
		return gateways;
	}

}
