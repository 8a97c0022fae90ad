package io.masticlane.share;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import io.masticlane.configuration.Organisation;
import io.masticlane.limit.Limits;
import io.masticlane.limit.TokenBucket;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ShareManagerTests {

	private static final int SCHEDULES = Integer.getInteger("masticlane.schedules", 1_000);

	private static final int HOSTS = 5;

	private static final double RATE = 500;

	private static final double BURST = 100;

	private static final double ROUNDING = 1e-6;

	private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final List<Organisation> ORGANISATIONS = List.of(Organisation.of("org", RATE, BURST));

	private static final String LIMIT = Limits.organisationIdentifier("org");

	@Test
	public void noTwoProcessesUseTheSameShareUnderRandomSchedules() {
		LongStream.range(0, SCHEDULES).parallel().forEach((seed) -> new Schedule(seed).run());
	}

	@Test
	public void theShareOfARemovedAndPausedHostIsNotDividedBeforeItExpires() {
		new Schedule(613).run();
	}

	@Test
	public void loansOfAReturnedShareAreNotRenewed() {
		new Schedule(111).run();
	}

	@Test
	public void theShareOfAFailedHostIsUsedAgainWithinTenSeconds() {
		SimulatedFleet fleet = convergedFleet();
		fleet.crash(2, 1_000 * NANOS_PER_SECOND);
		steps(fleet, 10);
		assertEquals(rate(fleet), RATE, ROUNDING);
	}

	@Test
	public void aRestartedHostRegainsItsShare() {
		SimulatedFleet fleet = convergedFleet();
		fleet.crash(2, 15 * NANOS_PER_SECOND);
		steps(fleet, 35);
		assertTrue(fleet.host(2).holdsShares());
		assertEquals(rate(fleet), RATE, ROUNDING);
	}

	@Test
	public void whileTheStoreIsDownEveryShareStaysInUse() {
		SimulatedFleet fleet = convergedFleet();
		fleet.storeDown = true;
		for (int second = 0; second < 60; second++) {
			steps(fleet, 1);
			assertEquals(rate(fleet), RATE, ROUNDING, "after " + second + " s");
		}
		fleet.storeDown = false;
		for (int second = 0; second < 20; second++) {
			steps(fleet, 1);
			assertEquals(rate(fleet), RATE, ROUNDING, "after the outage and " + second + " s");
		}
	}

	@Test
	public void aHostPartitionedFromTheStoreKeepsItsShareThroughItsPeers() {
		SimulatedFleet fleet = convergedFleet();
		fleet.partitionedFromStore[1] = true;
		for (int second = 0; second < 30; second++) {
			steps(fleet, 1);
			assertEquals(rate(fleet), RATE, ROUNDING, "after " + second + " s");
		}
	}

	@Test
	public void aHostPartitionedFromAllStopsUsingItsShareAndAnotherTakesOver() {
		SimulatedFleet fleet = convergedFleet();
		fleet.partitionedFromStore[1] = true;
		for (int other = 0; other < HOSTS; other++) {
			fleet.partitioned[1][other] = true;
			fleet.partitioned[other][1] = true;
		}
		steps(fleet, 10);
		assertEquals(fleet.host(1).ledger().rate(LIMIT, fleet.host(1).clock()), 0.0);
		assertEquals(rate(fleet), RATE, ROUNDING);
	}

	private static SimulatedFleet convergedFleet() {
		SimulatedFleet fleet = new SimulatedFleet(HOSTS, ORGANISATIONS, 1);
		steps(fleet, 12);
		assertEquals(rate(fleet), RATE, ROUNDING);
		return fleet;
	}

	private static void steps(SimulatedFleet fleet, int seconds) {
		LongStream.range(0, seconds * NANOS_PER_SECOND / SimulatedFleet.STEP).forEach((step) -> fleet.step());
	}

	private static double rate(SimulatedFleet fleet) {
		return fleet.hosts().stream().mapToDouble((host) -> host.ledger().rate(LIMIT, host.clock())).sum();
	}

	/**
	 * One random schedule of faults, in which the sum of all shares must not exceed the
	 * limit.
	 */
	private static final class Schedule {

		private static final long END = 30 * NANOS_PER_SECOND;

		private final long seed;

		private final Random random;

		private final SimulatedFleet fleet;

		private final TokenBucket fleetBucket = new TokenBucket(0);

		private Schedule(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			this.fleet = new SimulatedFleet(HOSTS, ORGANISATIONS, seed);
			this.fleet.lossRate = this.random.nextBoolean() ? 0 : 0.05;
			this.fleet.delayRate = this.random.nextBoolean() ? 0 : 0.02;
			this.fleetBucket.resize(RATE * (1 + 2 * SimulatedFleet.DRIFT), BURST + ROUNDING, 0);
			this.fleetBucket.add(BURST + ROUNDING, 0);
		}

		private void run() {
			while (this.fleet.now() < END) {
				injectFault();
				this.fleet.step();
				this.fleet.hosts().stream().filter(SimulatedFleet.Host::isRunning).forEach(this::send);
				verifyLimit();
			}
		}

		private void injectFault() {
			int index = this.random.nextInt(HOSTS);
			double chance = this.random.nextDouble() * 3;
			if (chance < 0.001) {
				this.fleet.crash(index, this.random.nextLong(15 * NANOS_PER_SECOND));
			}
			else if (chance < 0.004) {
				this.fleet.host(index).pausedUntil = this.fleet.now() + this.random.nextLong(20 * NANOS_PER_SECOND);
			}
			else if (chance < 0.014) {
				this.fleet.partitioned[index][this.random.nextInt(HOSTS)] ^= true;
			}
			else if (chance < 0.019) {
				this.fleet.partitionedFromStore[index] ^= true;
			}
			else if (chance < 0.022) {
				this.fleet.storeDown ^= true;
			}
			else if (chance < 0.025) {
				this.fleet.partitioned = new boolean[HOSTS][HOSTS];
			}
			else if (chance < 0.027) {
				this.fleet.apply(SimulatedFleet.configuration(HOSTS - this.random.nextInt(2), ORGANISATIONS));
			}
		}

		private void send(SimulatedFleet.Host host) {
			for (int request = 0; request < this.random.nextInt(5); request++) {
				if (host.ledger().tryAcquire(LIMIT, 1, host.clock())) {
					assertTrue(this.fleetBucket.tryAcquire(1, this.fleet.now()), message("beyond rate and burst"));
				}
			}
		}

		private void verifyLimit() {
			double rate = rate(this.fleet);
			assertTrue(rate <= RATE + ROUNDING, message("rate " + rate));
			double burst = this.fleet.hosts()
				.stream()
				.mapToDouble((host) -> host.ledger().burst(LIMIT, host.clock()))
				.sum();
			assertTrue(burst <= BURST + ROUNDING, message("burst " + burst));
		}

		private String message(String detail) {
			return "seed " + this.seed + " at " + this.fleet.now() + ": " + detail;
		}

	}

}
