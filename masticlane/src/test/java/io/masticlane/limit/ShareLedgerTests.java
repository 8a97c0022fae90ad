package io.masticlane.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Region;
import io.masticlane.message.Message;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ShareLedgerTests {

	private static final int SCHEDULES = Integer.getInteger("masticlane.schedules", 2_000);

	private static final int HOSTS = 5;

	private static final double RATE = 500;

	private static final double BURST = 100;

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final String LIMIT = Limits.organisationIdentifier("org");

	@Test
	public void theSumOfAllSharesAndLoansNeverExceedsTheLimitUnderRandomSchedules() {
		LongStream.range(0, SCHEDULES).parallel().forEach((seed) -> new Schedule(seed).run());
	}

	@Test
	public void aBusyEntryHostBorrowsTheRateOfIdleOnes() {
		Schedule schedule = new Schedule(1);
		schedule.faultFree = true;
		schedule.requestsPerSecond = new double[] { 450, 0, 0, 0, 0 };
		schedule.run();
		assertTrue(schedule.processes.get(0).ledger.rate(LIMIT, schedule.processes.get(0).clock(schedule.now)) > 450);
	}

	@Test
	public void aProcessPausedBeyondTheTermOfItsShareAcquiresNothing() {
		ShareLedger ledger = ledgerWithShare(10 * NANOS_PER_MILLI);
		assertTrue(ledger.tryAcquire(LIMIT, 0.5, 9 * NANOS_PER_MILLI));
		assertEquals(ledger.rate(LIMIT, 10 * NANOS_PER_MILLI), 0.0);
		assertTrue(!ledger.tryAcquire(LIMIT, 0.5, 5_000 * NANOS_PER_MILLI));
	}

	@Test
	public void aNewProcessStartsWithAnEmptyBucket() {
		assertTrue(!ledgerWithShare(5_000 * NANOS_PER_MILLI).tryAcquire(LIMIT, 1, 0));
	}

	@Test
	public void aGrantReceivedAfterTheTermIsIgnored() {
		List<Message> sent = new ArrayList<>();
		ShareLedger ledger = new ShareLedger("entry-0", 7, (host, message) -> sent.add(message));
		ledger.configure(configuration(), 1, 0);
		IntStream.range(0, 10).forEach((index) -> ledger.tryAcquire(LIMIT, 1, 0));
		Message.LoanRequest request = (Message.LoanRequest) sent.get(0);
		ledger.receive(new Message.LoanGrant(request.loan(), LIMIT, 1, 50, 10, 10, 2_000), 2_001 * NANOS_PER_MILLI);
		assertEquals(ledger.rate(LIMIT, 2_001 * NANOS_PER_MILLI), 0.0);
	}

	@Test
	public void whileRevisionsDifferAShareIsTheMinimumOfAllDivisions() {
		ShareLedger ledger = ledgerWithShare(60_000 * NANOS_PER_MILLI);
		Configuration raised = configuration().withOrganisations(List.of(Organisation.of("org", 2 * RATE, BURST)));
		ledger.configure(raised, 2, 0);
		assertEquals(ledger.rate(LIMIT, 0), RATE / HOSTS, 1e-9);
		ledger.discardPreviousDivisions(2, 0);
		assertEquals(ledger.rate(LIMIT, 0), 2 * RATE / HOSTS, 1e-9);
	}

	@Test
	public void anEntryHostWithoutTokensBorrowsThemFromAnother() {
		List<Message> requests = new ArrayList<>();
		ShareLedger borrower = ledgerWithShare(60_000 * NANOS_PER_MILLI, "entry-0", requests);
		List<Message> replies = new ArrayList<>();
		ShareLedger lender = ledgerWithShare(60_000 * NANOS_PER_MILLI, "entry-2", replies);
		assertTrue(!borrower.tryAcquire(LIMIT, 1, 0));
		Message.LoanRequest request = requests.stream()
			.map(Message.LoanRequest.class::cast)
			.filter((each) -> each.tokens() > 0)
			.findFirst()
			.orElseThrow();
		lender.receive("entry-0", request, 100 * NANOS_PER_MILLI);
		double lent = BURST / HOSTS - lender.burst(LIMIT, 100 * NANOS_PER_MILLI);
		borrower.receive((Message.LoanGrant) replies.get(0), 100 * NANOS_PER_MILLI);
		assertTrue(lent >= 1, "lent " + lent);
		assertEquals(borrower.burst(LIMIT, 100 * NANOS_PER_MILLI), BURST / HOSTS + lent, 1e-9);
		assertTrue(borrower.tryAcquireDelayed(LIMIT, 1, 100 * NANOS_PER_MILLI));
		assertEquals(lender.burst(LIMIT, 400 * NANOS_PER_MILLI), BURST / HOSTS, 1e-9);
		assertEquals(borrower.burst(LIMIT, 400 * NANOS_PER_MILLI), BURST / HOSTS, 1e-9);
	}

	private static ShareLedger ledgerWithShare(long until) {
		return ledgerWithShare(until, "entry-0", new ArrayList<>());
	}

	private static ShareLedger ledgerWithShare(long until, String host, List<Message> sent) {
		ShareLedger ledger = new ShareLedger(host, 7, (receiver, message) -> sent.add(message));
		ledger.configure(configuration(), 1, 0);
		ledger.discardPreviousDivisions(1, 0);
		ledger.updateShares(Set.of(host), until, 0);
		return ledger;
	}

	static Configuration configuration() {
		return Configuration.named("test")
			.withRegions(List.of(new Region("west", 100), new Region("north", 100)))
			.withDataCentres(List.of(new DataCentre("west-1", "west"), new DataCentre("north-1", "north")))
			.withEntryHosts(IntStream.range(0, HOSTS)
				.mapToObj((index) -> new EntryHost("entry-" + index, (index % 2 == 0) ? "west-1" : "north-1",
						"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
				.toList())
			.withOrganisations(List.of(Organisation.of("org", RATE, BURST)));
	}

	/**
	 * One random schedule of faults: clocks that drift, messages that are delayed, lost
	 * or duplicated, processes that pause, crash and restart, and shares that are held
	 * for a limited term.
	 */
	private static final class Schedule {

		private static final long END = 10_000 * NANOS_PER_MILLI;

		private static final long STEP = 10 * NANOS_PER_MILLI;

		private static final long SHARE_TERM = 3_000 * NANOS_PER_MILLI;

		private static final double DRIFT = 0.004;

		private final long seed;

		private final Random random;

		private final List<Process> processes = new ArrayList<>();

		private final PriorityQueue<Delivery> network = new PriorityQueue<>();

		private final TokenBucket fleetBucket = new TokenBucket(0);

		private final boolean[][] partitioned = new boolean[HOSTS][HOSTS];

		private boolean faultFree;

		private double[] requestsPerSecond;

		private long now;

		private Schedule(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			this.requestsPerSecond = this.random.doubles(HOSTS, 0, 2)
				.map((each) -> RATE * each * each * each / 8)
				.toArray();
			this.fleetBucket.resize(RATE * (1 + DRIFT), BURST + 1e-6, 0);
			this.fleetBucket.add(BURST + 1e-6, 0);
			IntStream.range(0, HOSTS).forEach((index) -> this.processes.add(new Process(index)));
		}

		private void run() {
			for (this.now = 0; this.now < END; this.now += STEP) {
				if (!this.faultFree) {
					injectFault();
				}
				while (!this.network.isEmpty() && this.network.peek().at() <= this.now) {
					deliver(this.network.poll());
				}
				this.processes.forEach(Process::step);
				verifyLimit();
			}
		}

		private void injectFault() {
			int index = this.random.nextInt(HOSTS);
			double chance = this.random.nextDouble();
			if (chance < 0.002) {
				this.processes.set(index, new Process(this.processes.get(index)));
			}
			else if (chance < 0.006) {
				this.processes.get(index).pausedUntil = this.now + this.random.nextInt(5_000) * NANOS_PER_MILLI;
			}
			else if (chance < 0.012) {
				this.partitioned[index][this.random.nextInt(HOSTS)] ^= true;
			}
			else if (chance < 0.015) {
				this.requestsPerSecond[index] = RATE * this.random.nextDouble();
			}
		}

		private void send(int from, int to, Message message) {
			boolean lost = !this.faultFree && (this.partitioned[from][to] || this.random.nextDouble() < 0.1);
			int copies = lost ? 0 : ((!this.faultFree && this.random.nextDouble() < 0.1) ? 2 : 1);
			IntStream.range(0, copies).forEach((copy) -> {
				long maximumDelayMillis = (!this.faultFree && this.random.nextDouble() < 0.1) ? 4_000 : 40;
				this.network.add(new Delivery(this.now + this.random.nextLong(maximumDelayMillis * NANOS_PER_MILLI),
						from, to, message));
			});
		}

		private void deliver(Delivery delivery) {
			Process process = this.processes.get(delivery.to());
			if (process.pausedUntil > this.now) {
				this.network.add(new Delivery(process.pausedUntil, delivery.from(), delivery.to(), delivery.message()));
			}
			else if (delivery.message() instanceof Message.LoanRequest request) {
				process.ledger.receive("entry-" + delivery.from(), request, process.clock(this.now));
			}
			else {
				process.ledger.receive((Message.LoanGrant) delivery.message(), process.clock(this.now));
			}
		}

		private void verifyLimit() {
			double rate = this.processes.stream()
				.mapToDouble((each) -> each.ledger.rate(LIMIT, each.clock(this.now)))
				.sum();
			double burst = this.processes.stream()
				.mapToDouble((each) -> each.ledger.burst(LIMIT, each.clock(this.now)))
				.sum();
			assertTrue(rate <= RATE + 1e-6, "seed " + this.seed + " at " + this.now + ": rate " + rate);
			assertTrue(burst <= BURST + 1e-6, "seed " + this.seed + " at " + this.now + ": burst " + burst);
		}

		private final class Process {

			private final int index;

			private final ShareLedger ledger;

			private final long offset = Schedule.this.random.nextLong(1_000_000 * NANOS_PER_MILLI);

			private final double speed = 1 + (Schedule.this.random.nextDouble() - 0.5) * DRIFT * 2;

			private final long vacantAt;

			private long pausedUntil;

			private long heldUntil;

			private Process(int index) {
				this(index, 0);
			}

			private Process(Process previous) {
				this(previous.index, Math.max(previous.vacantAt, previous.heldUntil));
				this.pausedUntil = Schedule.this.now + Schedule.this.random.nextInt(3_000) * NANOS_PER_MILLI;
			}

			private Process(int index, long vacantAt) {
				this.index = index;
				this.vacantAt = vacantAt;
				this.ledger = new ShareLedger("entry-" + index, Schedule.this.random.nextLong(),
						(host, message) -> send(index, Integer.parseInt(host.substring(6)), message));
				this.ledger.configure(configuration(), 1, clock(Schedule.this.now));
				this.ledger.discardPreviousDivisions(1, clock(Schedule.this.now));
			}

			private long clock(long time) {
				return this.offset + (long) (time * this.speed);
			}

			private void step() {
				long time = Schedule.this.now;
				if (this.pausedUntil > time) {
					return;
				}
				if (time >= this.vacantAt && time % (500 * NANOS_PER_MILLI) == 0 && this.heldUntil >= time
						|| this.heldUntil == 0) {
					long start = Math.max(time, this.vacantAt);
					this.heldUntil = (start == time) ? time + SHARE_TERM : 0;
					this.ledger.updateShares((start == time) ? Set.of("entry-" + this.index) : Set.of(),
							clock(time) + (long) (SHARE_TERM * 0.99), clock(time));
				}
				if (this.heldUntil != 0 && this.heldUntil < time) {
					this.heldUntil = 0;
				}
				double expected = Schedule.this.requestsPerSecond[this.index] * STEP / 1e9;
				int arrivals = (int) expected + ((Schedule.this.random.nextDouble() < expected % 1) ? 1 : 0);
				IntStream.range(0, arrivals)
					.filter((each) -> this.ledger.tryAcquire(LIMIT, 1, clock(time)))
					.forEach((each) -> {
						boolean withinLimit = Schedule.this.fleetBucket.tryAcquire(1, time);
						assertTrue(withinLimit,
								"seed " + Schedule.this.seed + " at " + time + ": beyond rate and burst");
					});
				if (time % (100 * NANOS_PER_MILLI) == 0) {
					this.ledger.tick(clock(time));
				}
			}

		}

		private record Delivery(long at, int from, int to, Message message) implements Comparable<Delivery> {

			@Override
			public int compareTo(Delivery other) {
				return Long.compare(this.at, other.at);
			}

		}

	}

}
