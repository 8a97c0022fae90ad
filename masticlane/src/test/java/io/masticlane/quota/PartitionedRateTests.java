package io.masticlane.quota;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;

import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayFleet;
import io.masticlane.fleet.ReceivedReport;
import io.masticlane.message.Message;
import io.masticlane.peer.Peer;
import io.masticlane.plan.OrganisationPlan;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * The rate of an organisation while gateways are cut off from each other and from the
 * store.
 */
public class PartitionedRateTests {

	private static final int GATEWAYS = 7;

	private static final int SECONDS = 40;

	private static final int WINDOW_SECONDS = 5;

	private static final int CUT_AT_MILLIS = 10_000;

	private static final int LAPSE_MILLIS = 4_500;

	private static final int HEALED_AT_MILLIS = 30_000;

	private static final int FLOOD_AT_SECOND = 16;

	private static final double FLOOD_FACTOR = 5;

	private static final int REPORT_MILLIS = 500;

	@DataProvider
	public Object[][] cuts() {
		return new Object[][] { { 129.0, 1 }, { 129.0, 2 }, { 129.0, 3 }, { 40.0, 2 }, { 393.0, 2 } };
	}

	/**
	 * Guards against a share that is used twice: by the gateways that are cut off and by
	 * those that saw their entries lapse.
	 * @param rate the rate and burst of the organisation
	 * @param cut the number of gateways that are cut off
	 */
	@Test(dataProvider = "cuts")
	public void admittedRequestsStayWithinRateAndBurstWhileGatewaysAreCutOff(double rate, int cut) {
		int[] admitted = simulate(rate, (one, other) -> (one < cut) == (other < cut) && one >= cut, cut);
		double bound = (rate * WINDOW_SECONDS + rate) * 1.1 + 20;
		IntStream.rangeClosed(0, SECONDS - WINDOW_SECONDS)
			.forEach((from) -> assertTrue(total(admitted, from, from + WINDOW_SECONDS) <= bound,
					"window from " + from + ": " + total(admitted, from, from + WINDOW_SECONDS) + " of " + bound));
	}

	@Test(dataProvider = "cuts")
	public void mostOfTheRateIsUsedWhileGatewaysAreCutOff(double rate, int cut) {
		int[] admitted = simulate(rate, (one, other) -> (one < cut) == (other < cut) && one >= cut, cut);
		int seconds = HEALED_AT_MILLIS / 1_000 - FLOOD_AT_SECOND;
		int total = total(admitted, FLOOD_AT_SECOND, FLOOD_AT_SECOND + seconds);
		assertTrue(total >= 0.85 * rate * seconds, "admitted " + total + " of " + rate * seconds);
	}

	@Test
	public void theWholeRateIsUsedWhenAllEntriesLapseWhileTheGatewaysHearEachOther() {
		int[] admitted = simulate(129, (one, other) -> true, GATEWAYS);
		int seconds = HEALED_AT_MILLIS / 1_000 - FLOOD_AT_SECOND;
		int total = total(admitted, FLOOD_AT_SECOND, FLOOD_AT_SECOND + seconds);
		assertTrue(total >= 0.93 * 129 * seconds, "admitted " + total + " of " + 129 * seconds);
	}

	/**
	 * Simulates a fleet in which the entries of the first gateways lapse, of which the
	 * others learn from the store.
	 */
	private static int[] simulate(double rate, BiPredicate<Integer, Integer> hears, int lapsing) {
		Random random = new Random(21);
		OrganisationPlan organisation = new OrganisationPlan("north", Set.of("k"), OptionalInt.empty(), rate, rate,
				Set.of());
		List<RateShares> shares = IntStream.range(0, GATEWAYS)
			.mapToObj((index) -> new RateShares(random::nextDouble))
			.toList();
		List<GatewayFleet> fleets = IntStream.range(0, GATEWAYS)
			.mapToObj((index) -> new GatewayFleet("entry-" + index))
			.toList();
		shares.forEach((each) -> each.organisations(List.of(organisation)));
		fleets.forEach(
				(fleet) -> IntStream.range(0, GATEWAYS).forEach((index) -> fleet.memberUpdated(gateway(index), 0)));
		int[] admitted = new int[SECONDS];
		for (int millis = 1; millis < SECONDS * 1_000; millis++) {
			long now = TimeUnit.MILLISECONDS.toNanos(millis);
			boolean cut = millis >= CUT_AT_MILLIS && millis < HEALED_AT_MILLIS;
			double demand = ((millis / 1_000 >= FLOOD_AT_SECOND) ? FLOOD_FACTOR : 0.6) * rate / GATEWAYS;
			for (int gateway = 0; gateway < GATEWAYS; gateway++) {
				changeMembers(fleets.get(gateway), gateway, millis, lapsing, now);
				if (random.nextDouble() < demand / 1_000) {
					admitted[millis / 1_000] += (shares.get(gateway).acquire("north") == 0) ? 1 : 0;
				}
				if ((millis + gateway * 67) % REPORT_MILLIS == 0) {
					report(shares, fleets, gateway, (one, other) -> !cut || hears.test(one, other), now);
				}
			}
		}
		return admitted;
	}

	private static void changeMembers(GatewayFleet fleet, int self, int millis, int lapsing, long now) {
		boolean seesStore = self >= lapsing || lapsing == GATEWAYS;
		if (millis == CUT_AT_MILLIS + LAPSE_MILLIS && seesStore) {
			IntStream.range(0, lapsing)
				.filter((other) -> other != self)
				.forEach((other) -> fleet.memberRemoved("entry-" + other, now));
		}
		if (millis == HEALED_AT_MILLIS + REPORT_MILLIS) {
			IntStream.range(0, GATEWAYS).forEach((other) -> fleet.memberUpdated(gateway(other), now));
		}
	}

	private static void report(List<RateShares> shares, List<GatewayFleet> fleets, int sender,
			BiPredicate<Integer, Integer> connected, long now) {
		shares.get(sender).divide(fleets.get(sender).size(), fleets.get(sender).freshReportCount(now) + 1, now);
		Map<String, Long> admitted = shares.get(sender).admittedCounts(true);
		Map<String, Long> refused = shares.get(sender).refusedCounts();
		Message.GatewayReport report = new Message.GatewayReport(1, 1, "", false, true, admitted, refused, Map.of());
		IntStream.range(0, GATEWAYS)
			.filter((other) -> other != sender && connected.test(sender, other))
			.forEach((other) -> {
				fleets.get(other)
					.reportReceived(new ReceivedReport(new Peer("entry-" + sender, "1"), 0, report, now, true));
				shares.get(other).reportReceived("entry-" + sender, "1", admitted, refused);
			});
	}

	private static Gateway gateway(int index) {
		return new Gateway("entry-" + index, "1", "zone-a", "west", new InetSocketAddress("127.0.0.1", 1),
				new InetSocketAddress("127.0.0.1", 2), false);
	}

	private static int total(int[] admitted, int from, int to) {
		return IntStream.range(from, to).map((second) -> admitted[second]).sum();
	}

}
