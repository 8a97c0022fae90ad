package io.masticlane.quota;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.plan.OrganisationPlan;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RateSharesTests {

	private static final int SECONDS = 40;

	private static final int WINDOW_SECONDS = 5;

	private static final int REPORT_MILLIS = 500;

	private final int[] offered = new int[SECONDS];

	@Test
	public void anOrganisationAtOneGatewayGetsNearlyItsFullRate() {
		int[] admitted = simulate(1, 7, organisation(40), (gateway, second) -> (gateway == 0) ? 38 : 0, false);
		assertRefusedAtMost(0.02, admitted);
	}

	@Test
	public void aSmallOrganisationWithinItsRateIsRarelyRefusedAtManyGateways() {
		int[] admitted = simulate(2, 28, organisation(29), (gateway, second) -> 18 / 28.0, false);
		assertRefusedAtMost(0.02, admitted);
	}

	@Test
	public void anOrganisationOfFewRequestsWithinItsRateIsRarelyRefused() {
		int[] admitted = simulate(3, 28, organisation(5), (gateway, second) -> 3 / 28.0, false);
		assertRefusedAtMost(0.02, admitted);
	}

	@Test
	public void admittedRequestsStayWithinRateAndBurstInEveryWindowUnderOverload() {
		assertWindows(40,
				simulate(4, 7, organisation(40), (gateway, second) -> (second < 10) ? 25 / 7.0 : 200 / 7.0, false));
		assertWindows(29,
				simulate(5, 28, organisation(29), (gateway, second) -> (second < 10) ? 18 / 28.0 : 145 / 28.0, false));
		assertWindows(200, simulate(6, 7, organisation(200), (gateway, second) -> (second < 10) ? 18 : 145, false));
	}

	@Test
	public void anOverloadingOrganisationIsServedAtItsRate() {
		int[] admitted = simulate(7, 7, organisation(40), (gateway, second) -> 40, false);
		assertTrue(total(admitted, 5, SECONDS) >= 0.93 * 40 * (SECONDS - 5), "admitted " + total(admitted, 5, SECONDS));
	}

	@Test
	public void gatewaysWithoutReportsAreLimitedToEqualShares() {
		assertWindows(40, simulate(8, 7, organisation(40), (gateway, second) -> 40, true));
	}

	@Test
	public void anOrganisationWithoutARateIsNeverRefused() {
		RateShares shares = new RateShares();
		shares.organisations(List.of(organisation(0)));
		assertEquals(shares.acquire("north"), 0);
	}

	private void assertRefusedAtMost(double fraction, int[] admitted) {
		int requested = total(this.offered, 5, SECONDS);
		int admittedTotal = total(admitted, 5, SECONDS);
		assertTrue(requested - admittedTotal <= fraction * requested, "admitted " + admittedTotal + " of " + requested);
	}

	private static void assertWindows(double rate, int[] admitted) {
		double bound = (rate * WINDOW_SECONDS + rate) * 1.1 + 20;
		IntStream.rangeClosed(0, SECONDS - WINDOW_SECONDS)
			.forEach((from) -> assertTrue(total(admitted, from, from + WINDOW_SECONDS) <= bound,
					"window from " + from + ": " + total(admitted, from, from + WINDOW_SECONDS) + " of " + bound));
	}

	private int[] simulate(long seed, int gateways, OrganisationPlan organisation, Demand demand, boolean isolated) {
		Arrays.fill(this.offered, 0);
		Random random = new Random(seed);
		List<RateShares> fleet = IntStream.range(0, gateways).mapToObj((index) -> new RateShares()).toList();
		fleet.forEach((shares) -> {
			shares.organisations(List.of(organisation));
			shares.divide(gateways, isolated ? 1 : gateways, 0);
		});
		int[] admitted = new int[SECONDS];
		for (int millis = 1; millis < SECONDS * 1_000; millis++) {
			int second = millis / 1_000;
			for (int gateway = 0; gateway < gateways; gateway++) {
				if (random.nextDouble() < demand.perSecond(gateway, second) / 1_000) {
					this.offered[second]++;
					admitted[second] += (fleet.get(gateway).acquire("north") == 0) ? 1 : 0;
				}
				if ((millis + gateway * 67) % REPORT_MILLIS == 0) {
					report(fleet, gateway, isolated, TimeUnit.MILLISECONDS.toNanos(millis));
				}
			}
		}
		return admitted;
	}

	private static void report(List<RateShares> fleet, int gateway, boolean isolated, long now) {
		RateShares sender = fleet.get(gateway);
		sender.divide(fleet.size(), isolated ? 1 : fleet.size(), now);
		Map<String, Long> admitted = sender.admittedCounts(false);
		Map<String, Long> refused = sender.refusedCounts();
		IntStream.range(0, fleet.size())
			.filter((other) -> other != gateway && !isolated)
			.forEach((other) -> fleet.get(other).reportReceived("entry-" + gateway, "1", admitted, refused));
	}

	private static OrganisationPlan organisation(double rate) {
		return new OrganisationPlan("north", Set.of("k"), OptionalInt.empty(), rate, rate, Set.of());
	}

	private static int total(int[] admitted, int from, int to) {
		return IntStream.range(from, to).map((second) -> admitted[second]).sum();
	}

	/**
	 * The rate of requests to a gateway.
	 */
	@FunctionalInterface
	private interface Demand {

		double perSecond(int gateway, int second);

	}

}
