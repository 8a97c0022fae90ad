package io.masticlane.membership;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class KeyFreshnessTests {

	private static final long BOUND_MILLIS = 5_000;

	private KeyFreshness freshness;

	@BeforeMethod
	public void create() {
		this.freshness = new KeyFreshness(BOUND_MILLIS, at(1_000));
		this.freshness.configure(Set.of("a", "b", "c", "d", "e", "f", "g"));
	}

	@Test
	public void aNewProcessIsNotFresh() {
		assertFalse(fresh(1_000));
	}

	@Test
	public void storeContactCountsForTheBound() {
		this.freshness.storeResponded(at(2_000));
		assertTrue(fresh(6_900));
		assertFalse(fresh(7_100));
	}

	@Test
	public void withTheStoreDownAMajorityKeepsServingAndAMinorityStops() {
		this.freshness.storeResponded(at(2_000));
		List.of("b", "c", "d").forEach((host) -> this.freshness.peerReported(host, at(60_000), 58_000));
		assertTrue(fresh(64_900));
		List.of("b", "c").forEach((host) -> this.freshness.peerReported(host, at(64_000), 62_000));
		assertFalse(fresh(65_100));
	}

	@Test
	public void aProcessWithoutStoreContactCountsTowardsNoMajority() {
		List.of("b", "c", "d").forEach((host) -> this.freshness.peerReported(host, at(60_000), 59_500));
		assertFalse(fresh(60_100));
		this.freshness.peerReported("e", at(60_000), StoreContact.NEVER_MILLIS);
		assertFalse(fresh(60_100));
		this.freshness.peerReported("e", at(60_000), 59_500);
		assertTrue(fresh(60_100));
	}

	/**
	 * Partitions and restarts the processes at random while a key is revoked: once a
	 * majority has confirmed the revocation and the bound has passed, no fresh process
	 * may have the older revision.
	 */
	@Test
	public void noFreshProcessMissesAConfirmedRevisionInRandomSchedules() {
		long seed = System.nanoTime();
		Random random = new Random(seed);
		IntStream.range(0, 3_000).forEach((round) -> new Schedule(random).run(seed));
	}

	private boolean fresh(long millis) {
		this.freshness.update("a", at(millis));
		return this.freshness.isFresh(at(millis));
	}

	private static long at(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * A fleet of seven processes and a store that is repeatedly partitioned into two
	 * groups.
	 */
	private static final class Schedule {

		private static final int SIZE = 7;

		private static final Set<String> NAMES = Set.of("0", "1", "2", "3", "4", "5", "6");

		private final Random random;

		private final KeyFreshness[] processes = new KeyFreshness[SIZE];

		private final int[] revisions = new int[SIZE];

		private final int[] groups = new int[SIZE + 1];

		private long confirmedAt = Long.MAX_VALUE;

		private int storeRevision = 1;

		private Schedule(Random random) {
			this.random = random;
			IntStream.range(0, SIZE).forEach((index) -> start(index, 0));
		}

		private void run(long seed) {
			for (long now = 0; now < 60_000; now += 500) {
				injectFaults(now);
				exchange(now);
				verifyFreshness(now, seed);
			}
		}

		private void injectFaults(long now) {
			if (this.random.nextInt(25) == 0) {
				IntStream.rangeClosed(0, SIZE).forEach((index) -> this.groups[index] = this.random.nextInt(2));
			}
			if (this.random.nextInt(25) == 0) {
				start(this.random.nextInt(SIZE), now);
			}
			if (now == 20_000) {
				this.storeRevision = 2;
			}
		}

		private void exchange(long now) {
			for (int receiver = 0; receiver < SIZE; receiver++) {
				if (this.groups[SIZE] == this.groups[receiver]) {
					this.revisions[receiver] = this.storeRevision;
					this.processes[receiver].storeResponded(at(now));
				}
				for (int sender = 0; sender < SIZE; sender++) {
					if (receiver != sender && this.groups[receiver] == this.groups[sender]) {
						sendHeartbeat(sender, receiver, now);
					}
				}
			}
		}

		private void sendHeartbeat(int from, int to, long now) {
			long age = this.processes[from].storeAgeMillis(at(now));
			if (this.revisions[from] > this.revisions[to]) {
				if (this.random.nextBoolean()) {
					this.revisions[to] = this.revisions[from];
				}
			}
			else {
				this.processes[to].peerReported(Integer.toString(from), at(now), age);
			}
		}

		private void verifyFreshness(long now, long seed) {
			long confirmed = IntStream.of(this.revisions).filter((revision) -> revision == 2).count();
			if (confirmed > SIZE / 2) {
				this.confirmedAt = Math.min(this.confirmedAt, now);
			}
			for (int index = 0; index < SIZE; index++) {
				this.processes[index].update(Integer.toString(index), at(now));
				boolean servesOldRevision = this.processes[index].isFresh(at(now)) && this.revisions[index] == 1;
				assertFalse(servesOldRevision && now - this.confirmedAt > BOUND_MILLIS + 500,
						"process " + index + " at " + now + ", seed " + seed);
			}
		}

		private void start(int index, long now) {
			this.processes[index] = new KeyFreshness(BOUND_MILLIS, at(now));
			this.processes[index].configure(NAMES);
			this.revisions[index] = 1;
		}

	}

}
