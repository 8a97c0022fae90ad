package io.masticlane.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class HostSelectionTests {

	private static final HostCapacity LARGE = new HostCapacity(1.5, 682, 140);

	private static final HostCapacity SMALL = new HostCapacity(0.21, 282, 7);

	/** The arena has 3 or 4 small hosts in a data centre, which differ a little. */
	private static final List<Gateway> ARENA = deployment(
			(dataCentre) -> Stream.concat(Stream.of(new HostCapacity(1.5, 682, 140), new HostCapacity(1.5, 640, 140)),
					IntStream.range(0, (dataCentre % 3 == 0) ? 3 : 4)
						.mapToObj((host) -> new HostCapacity(0.69 + 0.03 * host, 543, 7 + 0.25 * host))));

	private static final List<Gateway> BROKERS = deployment((dataCentre) -> capacities(2, LARGE, 14, SMALL));

	private static final List<Gateway> ALIKE = deployment((dataCentre) -> capacities(2, SMALL, 6, SMALL));

	/** Guards against callers on links of 7 Mbit/s while links of 140 Mbit/s are idle. */
	@Test
	public void theLargeHostsOfTheDataCentreAreNamedWithOneInTheOtherAsReserve() {
		for (List<Gateway> members : List.of(ARENA, BROKERS)) {
			assertEquals(names(select("r0-a", members, members)).subList(0, 2), List.of("r0-a-00", "r0-a-01"));
			assertTrue(names(select("r0-a", members, members)).get(2).matches("r0-b-0[01]"));
			assertEquals(select("r0-a", members, members).size(), 3);
		}
	}

	/**
	 * Guards against links that need many times the part that all links need together.
	 */
	@Test
	public void theBusiestLinkNeedsLessThanBeforeAndAThirdMoreThanTheMeanOfTheLargeOnes() {
		Map.of(ARENA, 0.606, BROKERS, 0.208).forEach((members, busiestBefore) -> {
			Map<String, Double> before = shares(members, (dataCentre) -> region(members, dataCentre));
			Map<String, Double> after = shares(members, (dataCentre) -> select(dataCentre, members, members));
			assertEquals(busiest(members, before), busiestBefore, 0.001);
			assertEquals(busiest(members, after), 4.0 / 3 / 12, 0.001);
		});
	}

	/**
	 * Guards against a single host, or small ones, for a data centre that lost large
	 * hosts.
	 */
	@Test
	public void aDataCentreThatLosesLargeHostsUsesThoseOfItsRegionBeforeSmallOnes() {
		assertEquals(names(without("r0-a", BROKERS, "r0-a-00")), List.of("r0-a-01", "r0-b-00", "r0-b-01"));
		assertEquals(names(without("r0-a", BROKERS, "r0-a-0[01]")), List.of("r0-b-00", "r0-b-01"));
		assertEquals(names(without("r0-a", BROKERS, "r0-a-.*")), List.of("r0-b-00", "r0-b-01"));
		assertEquals(names(without("r0-a", BROKERS, "r0-.*")).size(), 8);
		assertEquals(without("r0-a", BROKERS, "r0-.-0[01]").stream()
			.filter((host) -> host.dataCentre().equals("r0-a"))
			.count(), 14);
		assertEquals(names(without("r0-a", BROKERS, "(?!r0-a-07).*")), List.of("r0-a-07"));
	}

	/**
	 * Guards against cached answers of which no host is left when a data centre fails.
	 */
	@Test
	public void anAnswerOutlivesTheFailureOfItsDataCentre() {
		for (List<Gateway> members : List.of(ARENA, BROKERS, ALIKE)) {
			assertTrue(select("r1-b", members, members).stream().anyMatch((host) -> host.dataCentre().equals("r1-a")));
		}
	}

	/**
	 * Guards against empty answers, and callers of small hosts, while hosts are missing.
	 */
	@Test
	public void withAThirdOfTheHostsGoneEveryDataCentreHasLargeHosts() {
		for (int lost = 0; lost < 3; lost++) {
			int third = lost;
			List<Gateway> left = IntStream.range(0, BROKERS.size())
				.filter((index) -> index % 3 != third)
				.mapToObj(BROKERS::get)
				.toList();
			Map<String, Double> shares = shares(left, (dataCentre) -> select(dataCentre, left, BROKERS));
			assertTrue(busiest(left, shares) < 0.25, "busiest link " + busiest(left, shares));
		}
	}

	/**
	 * Guards against small differences, missing figures or versions that exclude hosts.
	 */
	@Test
	public void alikeHostsAndThoseOfUnknownCapacityAreAllNamed() {
		assertEquals(select("r0-a", ALIKE, ALIKE).size(), 9);
		assertEquals(without("r0-a", ALIKE, "r0-a-0[67]").size(), 7);
		List<Gateway> unknown = deployment((dataCentre) -> capacities(2, HostCapacity.UNKNOWN, 2, LARGE));
		assertEquals(select("r0-a", unknown, unknown).size(), 5);
		List<Gateway> differing = deployment(
				(dataCentre) -> IntStream.range(0, 4).mapToObj((host) -> new HostCapacity(0.81 - 0.04 * host, 0, 0)));
		assertEquals(select("r0-a", differing, differing).size(), 5);
	}

	/**
	 * Guards against answers above the limit of callers, which cut them or reject them.
	 */
	@Test
	public void atMostSixtyFourHostsAreNamed() {
		List<Gateway> many = deployment((dataCentre) -> capacities(40, LARGE, 60, LARGE));
		assertEquals(select("r0-a", many, many).size(), HostSelection.MAXIMUM_HOSTS);
		assertEquals(select("elsewhere", many, many).size(), HostSelection.MAXIMUM_HOSTS);
	}

	private static List<Gateway> without(String dataCentre, List<Gateway> members, String lostHosts) {
		return select(dataCentre, members.stream().filter((host) -> !host.host().matches(lostHosts)).toList(), members);
	}

	private static List<Gateway> select(String dataCentre, List<Gateway> available, List<Gateway> members) {
		return HostSelection.select(dataCentre.substring(0, 2), dataCentre, available,
				HostCapacity.largest(members.stream().map(Gateway::capacity)));
	}

	private static List<Gateway> region(List<Gateway> members, String dataCentre) {
		Predicate<Gateway> inRegion = (host) -> host.region().equals(dataCentre.substring(0, 2));
		return members.stream().filter(inRegion).toList();
	}

	private static Map<String, Double> shares(List<Gateway> members, Function<String, List<Gateway>> directory) {
		Map<String, Double> shares = new TreeMap<>();
		List<String> dataCentres = members.stream().map(Gateway::dataCentre).distinct().toList();
		dataCentres.stream()
			.map(directory)
			.forEach((named) -> named
				.forEach((host) -> shares.merge(host.host(), 1.0 / dataCentres.size() / named.size(), Double::sum)));
		return shares;
	}

	/** The largest part of its link that a host needs when all traffic is 140 Mbit/s. */
	private static double busiest(List<Gateway> members, Map<String, Double> shares) {
		return members.stream()
			.mapToDouble((host) -> shares.getOrDefault(host.host(), 0.0) * 140 / host.capacity().bandwidthMegabits())
			.max()
			.orElseThrow();
	}

	private static List<String> names(List<Gateway> hosts) {
		return hosts.stream().map(Gateway::host).collect(Collectors.toList());
	}

	private static Stream<HostCapacity> capacities(int first, HostCapacity one, int second, HostCapacity other) {
		return Stream.concat(Stream.generate(() -> one).limit(first), Stream.generate(() -> other).limit(second));
	}

	private static List<Gateway> deployment(IntFunction<Stream<HostCapacity>> capacities) {
		return IntStream.range(0, 6).boxed().flatMap((index) -> {
			String region = "r" + index / 2;
			String dataCentre = region + ((index % 2 == 0) ? "-a" : "-b");
			List<HostCapacity> hosts = capacities.apply(index).toList();
			return IntStream.range(0, hosts.size())
				.mapToObj((host) -> new Gateway(String.format("%s-%02d", dataCentre, host), "1", dataCentre, region,
						new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2), false,
						hosts.get(host)));
		}).toList();
	}

}
