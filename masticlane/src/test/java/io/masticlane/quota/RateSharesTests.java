package io.masticlane.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.plan.OrganisationPlan;
import org.testng.annotations.DataProvider;
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

	@DataProvider
	public Object[][] rates() {
		return new Object[][] { { 7.0 }, { 14.0 }, { 26.0 }, { 78.0 }, { 134.0 }, { 393.0 } };
	}

	/**
	 * All processes of a large fleet are killed at once; the requests that follow spread
	 * over all gateways, so that few arrive at each.
	 * @param rate the rate of the organisation
	 */
	@Test(dataProvider = "rates")
	public void anOrganisationWithinItsRateIsRarelyRefusedAfterTheWholeFleetRestarted(double rate) {
		int[] admitted = simulate(11, 36, organisation(rate), (gateway, second) -> (second == 12) ? 0 : rate / 1.6 / 36,
				new Restarts(12_000, 36));
		int requested = total(this.offered, 13, 18);
		assertTrue(requested - total(admitted, 13, 18) <= 0.05 * requested,
				"admitted " + total(admitted, 13, 18) + " of " + requested);
	}

	@Test(dataProvider = "rates")
	public void admittedRequestsStayWithinRateAndBurstWhenSomeGatewaysRestartUnderOverload(double rate) {
		IntStream.of(7, 36).forEach((gateways) -> {
			assertWindowsWithRestarts(rate, gateways, 1);
			assertWindowsWithRestarts(rate, gateways, gateways / 2);
		});
	}

	@Test(dataProvider = "rates")
	public void admittedRequestsStayWithinRateAndBurstWhenAllGatewaysRestartUnderOverload(double rate) {
		IntStream.of(7, 36).forEach((gateways) -> assertWindowsWithRestarts(rate, gateways, gateways));
	}

	private void assertWindowsWithRestarts(double rate, int gateways, int restarting) {
		IntStream.of(10_000, 11_000, 12_500, 20_000)
			.forEach((restartAt) -> assertWindows(rate,
					simulate(12, gateways, organisation(rate),
							(gateway, second) -> ((second < 10) ? 0.6 : 5) * rate / gateways,
							new Restarts(restartAt, restarting))));
	}

	@Test
	public void anOrganisationWithoutARateIsNeverRefused() {
		RateShares shares = new RateShares(() -> 0.5);
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
		return simulate(seed, gateways, organisation, demand, isolated, new Restarts(Integer.MAX_VALUE, 0));
	}

	private int[] simulate(long seed, int gateways, OrganisationPlan organisation, Demand demand, Restarts restarts) {
		return simulate(seed, gateways, organisation, demand, false, restarts);
	}

	private int[] simulate(long seed, int gateways, OrganisationPlan organisation, Demand demand, boolean isolated,
			Restarts restarts) {
		Arrays.fill(this.offered, 0);
		Random random = new Random(seed);
		List<RateShares> fleet = new ArrayList<>(
				IntStream.range(0, gateways).mapToObj((index) -> new RateShares(random::nextDouble)).toList());
		fleet.forEach((shares) -> {
			shares.organisations(List.of(organisation));
			shares.divide(gateways, isolated ? 1 : gateways, 0);
		});
		int[] admitted = new int[SECONDS];
		for (int millis = 1; millis < SECONDS * 1_000; millis++) {
			int second = millis / 1_000;
			for (int gateway = 0; gateway < gateways; gateway++) {
				if (restarts.isDown(gateway, millis)) {
					continue;
				}
				if (restarts.isStarting(gateway, millis)) {
					RateShares replacement = new RateShares(random::nextDouble);
					replacement.organisations(List.of(organisation));
					replacement.divide(gateways, 1, TimeUnit.MILLISECONDS.toNanos(millis));
					fleet.set(gateway, replacement);
				}
				if (random.nextDouble() < demand.perSecond(gateway, second) / 1_000) {
					this.offered[second]++;
					admitted[second] += (fleet.get(gateway).acquire("north") == 0) ? 1 : 0;
				}
				if ((millis + gateway * 67) % REPORT_MILLIS == 0) {
					report(fleet, gateway, isolated, restarts, millis);
				}
			}
		}
		return admitted;
	}

	private static void report(List<RateShares> fleet, int gateway, boolean isolated, Restarts restarts, int millis) {
		RateShares sender = fleet.get(gateway);
		int fresh = isolated ? 1
				: (int) IntStream.range(0, fleet.size()).filter((other) -> !restarts.isSilent(other, millis)).count();
		sender.divide(fleet.size(), fresh, TimeUnit.MILLISECONDS.toNanos(millis));
		Map<String, Long> admitted = sender.admittedCounts(false);
		Map<String, Long> refused = sender.refusedCounts();
		String incarnation = restarts.incarnation(gateway, millis);
		IntStream.range(0, fleet.size())
			.filter((other) -> other != gateway && !isolated && !restarts.isDown(other, millis))
			.forEach((other) -> fleet.get(other).reportReceived("entry-" + gateway, incarnation, admitted, refused));
	}

	private static OrganisationPlan organisation(double rate) {
		return new OrganisationPlan("north", Set.of("k"), OptionalInt.empty(), rate, rate, Set.of());
	}

	private static int total(int[] admitted, int from, int to) {
		return IntStream.range(from, to).map((second) -> admitted[second]).sum();
	}

	/**
	 * The restart of the first gateways of a fleet.
	 *
	 * @param atMillis the time at which their processes are killed
	 * @param gateways the number of gateways
	 */
	private record Restarts(int atMillis, int gateways) {

		private static final int DOWN_MILLIS = 1_200;

		private static final int SILENT_MILLIS = 1_900;

		boolean isDown(int gateway, int millis) {
			return gateway < this.gateways && millis >= this.atMillis && millis - this.atMillis < DOWN_MILLIS;
		}

		boolean isStarting(int gateway, int millis) {
			return gateway < this.gateways && millis - this.atMillis == DOWN_MILLIS;
		}

		boolean isSilent(int gateway, int millis) {
			return gateway < this.gateways && millis >= this.atMillis && millis - this.atMillis < SILENT_MILLIS;
		}

		String incarnation(int gateway, int millis) {
			return (gateway < this.gateways && millis >= this.atMillis) ? "2" : "1";
		}

	}

	/**
	 * The rate of requests to a gateway.
	 */
	@FunctionalInterface
	private interface Demand {

		double perSecond(int gateway, int second);

	}

}
