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

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final List<Organisation> ORGANISATIONS = List.of(Organisation.of("org", RATE, BURST));

	private static final String LIMIT = Limits.organisationIdentifier("org");

	@Test
	public void noTwoProcessesUseTheSameShareUnderRandomSchedules() {
		LongStream.range(0, SCHEDULES).parallel().forEach((seed) -> new Schedule(seed).run());
	}

	@Test
	public void theShareOfARemovedAndPausedHostIsNotDividedBeforeItsEnd() {
		new Schedule(613).run();
	}

	@Test
	public void loansOfAShareThatWasHandedBackAreNotRenewed() {
		new Schedule(111).run();
	}

	@Test
	public void theShareOfADeadHostIsUsedAgainWithinTenSeconds() {
		SimulatedFleet fleet = settledFleet();
		fleet.crash(2, 1_000 * SECOND);
		steps(fleet, 10);
		assertEquals(rate(fleet), RATE, ROUNDING);
	}

	@Test
	public void aHostThatComesBackGetsItsShareAgain() {
		SimulatedFleet fleet = settledFleet();
		fleet.crash(2, 15 * SECOND);
		steps(fleet, 35);
		assertTrue(fleet.host(2).holdsShares());
		assertEquals(rate(fleet), RATE, ROUNDING);
	}

	@Test
	public void whileTheStoreIsDownEveryShareStaysInUse() {
		SimulatedFleet fleet = settledFleet();
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
	public void aHostCutFromTheStoreKeepsItsShareThroughItsPeers() {
		SimulatedFleet fleet = settledFleet();
		fleet.cutFromStore[1] = true;
		for (int second = 0; second < 30; second++) {
			steps(fleet, 1);
			assertEquals(rate(fleet), RATE, ROUNDING, "after " + second + " s");
		}
	}

	@Test
	public void aHostCutFromAllStopsUsingItsShareAndAnotherTakesOver() {
		SimulatedFleet fleet = settledFleet();
		fleet.cutFromStore[1] = true;
		for (int other = 0; other < HOSTS; other++) {
			fleet.cut[1][other] = true;
			fleet.cut[other][1] = true;
		}
		steps(fleet, 10);
		assertEquals(fleet.host(1).ledger().rate(LIMIT, fleet.host(1).clock()), 0.0);
		assertEquals(rate(fleet), RATE, ROUNDING);
	}

	private static SimulatedFleet settledFleet() {
		SimulatedFleet fleet = new SimulatedFleet(HOSTS, ORGANISATIONS, 1);
		steps(fleet, 12);
		assertEquals(rate(fleet), RATE, ROUNDING);
		return fleet;
	}

	private static void steps(SimulatedFleet fleet, int seconds) {
		LongStream.range(0, seconds * SECOND / SimulatedFleet.STEP).forEach((step) -> fleet.step());
	}

	private static double rate(SimulatedFleet fleet) {
		return fleet.hosts().stream().mapToDouble((host) -> host.ledger().rate(LIMIT, host.clock())).sum();
	}

	/**
	 * One random schedule of faults.
	 */
	private static final class Schedule {

		private static final long END = 30 * SECOND;

		private final long seed;

		private final Random random;

		private final SimulatedFleet fleet;

		private final TokenBucket ideal = new TokenBucket(0);

		private Schedule(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			this.fleet = new SimulatedFleet(HOSTS, ORGANISATIONS, seed);
			this.fleet.lossRate = this.random.nextBoolean() ? 0 : 0.05;
			this.fleet.lateRate = this.random.nextBoolean() ? 0 : 0.02;
			this.ideal.resize(RATE * (1 + 2 * SimulatedFleet.DRIFT), BURST + ROUNDING, 0);
			this.ideal.add(BURST + ROUNDING, 0);
		}

		private void run() {
			while (this.fleet.now() < END) {
				disturb();
				this.fleet.step();
				this.fleet.hosts().stream().filter(SimulatedFleet.Host::isRunning).forEach(this::send);
				check();
			}
		}

		private void disturb() {
			int index = this.random.nextInt(HOSTS);
			double chance = this.random.nextDouble() * 3;
			if (chance < 0.001) {
				this.fleet.crash(index, this.random.nextLong(15 * SECOND));
			}
			else if (chance < 0.004) {
				this.fleet.host(index).pausedUntil = this.fleet.now() + this.random.nextLong(20 * SECOND);
			}
			else if (chance < 0.014) {
				this.fleet.cut[index][this.random.nextInt(HOSTS)] ^= true;
			}
			else if (chance < 0.019) {
				this.fleet.cutFromStore[index] ^= true;
			}
			else if (chance < 0.022) {
				this.fleet.storeDown ^= true;
			}
			else if (chance < 0.025) {
				this.fleet.cut = new boolean[HOSTS][HOSTS];
			}
			else if (chance < 0.027) {
				this.fleet.apply(SimulatedFleet.configuration(HOSTS - this.random.nextInt(2), ORGANISATIONS));
			}
		}

		private void send(SimulatedFleet.Host host) {
			for (int request = 0; request < this.random.nextInt(5); request++) {
				if (host.ledger().tryAcquire(LIMIT, 1, host.clock())) {
					assertTrue(this.ideal.tryAcquire(1, this.fleet.now()), message("beyond rate and burst"));
				}
			}
		}

		private void check() {
			double rate = rate(this.fleet);
			assertTrue(rate <= RATE + ROUNDING, message("rate " + rate));
			double burst = this.fleet.hosts()
				.stream()
				.mapToDouble((host) -> host.ledger().burst(LIMIT, host.clock()))
				.sum();
			assertTrue(burst <= BURST + ROUNDING, message("burst " + burst));
		}

		private String message(String what) {
			return "seed " + this.seed + " at " + this.fleet.now() + ": " + what;
		}

	}

}
