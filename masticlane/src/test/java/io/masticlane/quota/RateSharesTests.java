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
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RateSharesTests {

	private static final int GATEWAYS = 7;

	private static final int SECONDS = 30;

	private static final int WINDOW_SECONDS = 5;

	private final OrganisationPlan organisation = new OrganisationPlan("north", Set.of("k"), OptionalInt.empty(), 40,
			40, Set.of());

	private final int[] offered = new int[SECONDS];

	@Test
	public void anOrganisationAtOneGatewayGetsNearlyItsWholeRate() {
		int[] admitted = play(1, (gateway) -> (gateway == 0) ? 39 : 0, false);
		assertTrue(total(admitted, 10, SECONDS) >= 0.98 * total(this.offered, 10, SECONDS),
				"admitted " + total(admitted, 10, SECONDS) + " of " + total(this.offered, 10, SECONDS));
	}

	@Test
	public void aFloodStaysInsideRateAndBurstOfEveryWindow() {
		int[] admitted = play(2, (gateway) -> 60, false);
		assertWindows(admitted);
	}

	@Test
	public void gatewaysThatHearNobodyKeepToEvenShares() {
		int[] admitted = play(3, (gateway) -> 60, true);
		assertWindows(admitted);
	}

	@Test
	public void anOrganisationWithoutARateIsNeverRefused() {
		OrganisationPlan free = new OrganisationPlan("free", Set.of(), OptionalInt.empty(), 0, 0, Set.of());
		assertEquals(new RateShares().take(free, 0), 0);
	}

	private void assertWindows(int[] admitted) {
		double bound = (40 * WINDOW_SECONDS + 40) * 1.1 + 20;
		IntStream.rangeClosed(0, SECONDS - WINDOW_SECONDS)
			.forEach((from) -> assertTrue(total(admitted, from, from + WINDOW_SECONDS) <= bound,
					"window from " + from + ": " + total(admitted, from, from + WINDOW_SECONDS)));
	}

	private int[] play(long seed, java.util.function.IntToDoubleFunction demand, boolean silent) {
		Arrays.fill(this.offered, 0);
		Random random = new Random(seed);
		List<RateShares> shares = new ArrayList<>();
		List<DemandMeter> meters = new ArrayList<>();
		for (int gateway = 0; gateway < GATEWAYS; gateway++) {
			shares.add(new RateShares());
			meters.add(new DemandMeter(0));
		}
		int[] admitted = new int[SECONDS];
		for (long millis = 1; millis < TimeUnit.SECONDS.toMillis(SECONDS); millis++) {
			long now = TimeUnit.MILLISECONDS.toNanos(millis);
			for (int gateway = 0; gateway < GATEWAYS; gateway++) {
				if (random.nextDouble() < demand.applyAsDouble(gateway) / 1_000) {
					this.offered[(int) (millis / 1_000)]++;
					meters.get(gateway).count("north");
					if (shares.get(gateway).take(this.organisation, now) == 0) {
						admitted[(int) (millis / 1_000)]++;
					}
				}
			}
			if (millis % 250 == 0) {
				List<Map<String, Double>> rates = meters.stream().map((meter) -> meter.update(now)).toList();
				for (int gateway = 0; gateway < GATEWAYS; gateway++) {
					List<Map<String, Double>> others = new ArrayList<>(rates);
					others.remove(gateway);
					shares.get(gateway).divide(rates.get(gateway), silent ? List.of() : others, GATEWAYS);
				}
			}
		}
		return admitted;
	}

	private static int total(int[] admitted, int from, int to) {
		return IntStream.range(from, to).map((second) -> admitted[second]).sum();
	}

}
