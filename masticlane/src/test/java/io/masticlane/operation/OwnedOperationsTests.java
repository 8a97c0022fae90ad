package io.masticlane.operation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import io.masticlane.message.Message;
import io.masticlane.operation.Operations.Grant;
import io.masticlane.operation.Operations.Verdict.Kind;
import io.masticlane.peer.Peer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OwnedOperationsTests {

	private static final int SCHEDULES = 4_000;

	private static final String CLAIMANT = "00000000-0000-0000-0000-000000000001";

	private static final Peer OWNER = new Peer("entry-2", "00000000-0000-0000-0000-000000000002");

	@Test
	public void noScheduleRunsAnOperationTwiceOrReportsARunOperationAsNotRun() {
		long[] totals = new long[3];
		LongStream.range(0, SCHEDULES).forEach((seed) -> {
			Schedule schedule = new Schedule(seed);
			schedule.run();
			totals[0] += schedule.runs.values().stream().mapToInt(Integer::intValue).sum();
			totals[1] += schedule.notRun;
			totals[2] += schedule.unknown;
		});
		System.out.println("schedules " + SCHEDULES + ": runs, not-run, unknown " + Arrays.toString(totals));
		assertTrue(Arrays.stream(totals).allMatch((total) -> total > SCHEDULES),
				"the schedules cover too few outcomes");
	}

	@Test
	public void aClaimWithoutAVerdictIsUnknownAfterItsTimeoutAndALateGrantIsReleased() {
		List<Message> sent = new ArrayList<>();
		OwnedOperations operations = operations(sent);
		List<Kind> kinds = new ArrayList<>();
		operations.claim(Operation.of("org", Operation.prefix(OWNER.incarnation(), 1) + "x", 0), 0,
				(verdict, at) -> kinds.add(verdict.kind()));
		operations.tick(TimeUnit.MINUTES.toNanos(2));
		Message.OperationClaim claim = (Message.OperationClaim) sent.remove(0);
		operations.verdictReceived(OWNER, new Message.OperationVerdict(claim.claim(), "GRANTED", CLAIMANT), 0);
		assertEquals(kinds, List.of(Kind.UNKNOWN));
		assertEquals(sent, List.of(new Message.OperationRelease(claim.claim(), "org", claim.operation())));
	}

	@Test
	public void aVerdictForThePreviousProcessOnTheHostIsIgnored() {
		List<Message> sent = new ArrayList<>();
		OwnedOperations operations = operations(sent);
		List<Kind> kinds = new ArrayList<>();
		operations.claim(Operation.of("org", Operation.prefix(OWNER.incarnation(), 1) + "x", 0), 0,
				(verdict, at) -> kinds.add(verdict.kind()));
		operations.verdictReceived(OWNER, new Message.OperationVerdict(1, "GRANTED", "previous"), 0);
		assertEquals(kinds, List.of());
	}

	private static OperationLedger ledger() {
		return new OperationLedger(CLAIMANT, new OperationLedger.Bounds(10, 10, 0));
	}

	private static OwnedOperations operations(List<Message> sent) {
		return new OwnedOperations(CLAIMANT, ledger(), new OwnedOperations.Owners() {

			@Override
			public Optional<String> host(String incarnation, long now) {
				return Optional.of(OWNER.host());
			}

			@Override
			public boolean send(String host, Message message) {
				return sent.add(message);
			}

		}, new StoreOperations(null, "", CLAIMANT, Runnable::run), 0);
	}

	/**
	 * A random schedule of claims at hosts that restart and pause, on a network that
	 * delays, loses, duplicates and reorders messages.
	 */
	private static final class Schedule {

		private static final int HOSTS = 4;

		private static final int STEPS = 150;

		private final long seed;

		private final Random random;

		private final PriorityQueue<Event> events = new PriorityQueue<>();

		private final List<Host> hosts = new ArrayList<>();

		private final List<String> keys = new ArrayList<>();

		private final Map<String, Integer> runs = new HashMap<>();

		private final Map<String, Integer> running = new HashMap<>();

		private long now;

		private long sequence;

		private int notRun;

		private int unknown;

		Schedule(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			IntStream.range(0, HOSTS).forEach((index) -> this.hosts.add(new Host(index)));
		}

		void run() {
			IntStream.range(0, STEPS).forEach((step) -> schedule(this.random.nextInt(20_000), this::step));
			while (!this.events.isEmpty()) {
				Event event = this.events.poll();
				this.now = Math.max(this.now, event.time);
				event.action.run();
			}
		}

		private void step() {
			Host host = this.hosts.get(this.random.nextInt(HOSTS));
			int choice = this.random.nextInt(100);
			if (choice < 75) {
				attempt(host);
			}
			else if (choice < 80) {
				this.hosts.set(host.index, new Host(host.index));
			}
			else if (choice < 90) {
				host.pausedUntil = this.now + this.random.nextInt(4_000);
			}
			else {
				host.run(() -> host.operations.tick(nanos() + TimeUnit.MINUTES.toNanos(choice % 2 * 5)));
			}
		}

		private void attempt(Host host) {
			if (this.keys.isEmpty() || this.random.nextInt(4) == 0) {
				Host owner = this.hosts.get(this.random.nextInt(HOSTS));
				this.keys.add(Operation.prefix(owner.incarnation, owner.ledger.epoch()) + this.sequence++);
			}
			String key = this.keys.get(Math.max(0, this.keys.size() - 1 - this.random.nextInt(3)));
			Operation operation = Operation.of("org", key, 0);
			host.run(() -> {
				if (this.random.nextInt(8) == 0) {
					refuse(key, host.operations.isKnownNotRun(operation));
				}
				else {
					host.operations.claim(operation, nanos(), (verdict, at) -> decided(host, key, verdict));
				}
			});
			schedule(this.random.nextInt(1_500), () -> host.run(() -> host.operations.tick(nanos())));
		}

		private void decided(Host host, String key, Operations.Verdict verdict) {
			if (verdict.kind() != Kind.GRANTED) {
				refuse(key, verdict.kind() == Kind.FULL);
				return;
			}
			this.running.merge(key, 1, Integer::sum);
			assertEquals(this.running.get(key), Integer.valueOf(1), "two concurrent grants, seed " + this.seed);
			schedule(this.random.nextInt(500), () -> host.run(() -> dispatch(key, verdict.grant())));
		}

		private void dispatch(String key, Grant grant) {
			if (this.random.nextInt(3) == 0) {
				refuse(key, true);
				this.running.remove(key);
				grant.release();
				return;
			}
			this.runs.merge(key, 1, Integer::sum);
			assertEquals(this.runs.get(key), Integer.valueOf(1), "ran twice, seed " + this.seed);
			grant.end(Optional.empty());
		}

		private void refuse(String key, boolean knownNotRun) {
			if (knownNotRun) {
				this.notRun++;
				assertEquals(this.runs.getOrDefault(key, 0), Integer.valueOf(0),
						"reported as not run after it ran, seed " + this.seed);
			}
			else {
				this.unknown++;
			}
		}

		private void deliver(Peer from, String to, Message message) {
			Host receiver = this.hosts.get(Integer.parseInt(to));
			receiver.run(() -> {
				if (message instanceof Message.OperationClaim claim) {
					receiver.operations.claimReceived(from, claim);
				}
				else if (message instanceof Message.OperationVerdict verdict) {
					receiver.operations.verdictReceived(from, verdict, nanos());
				}
				else if (message instanceof Message.OperationRelease release) {
					receiver.operations.releaseReceived(from, release);
				}
			});
		}

		private void schedule(long delay, Runnable action) {
			this.events.add(new Event(this.now + delay, this.sequence++, action));
		}

		private long nanos() {
			return TimeUnit.MILLISECONDS.toNanos(this.now);
		}

		private final class Host implements OwnedOperations.Owners {

			private final int index;

			private final String incarnation;

			private final OperationLedger ledger;

			private final OwnedOperations operations;

			private long pausedUntil;

			Host(int index) {
				this.index = index;
				this.incarnation = String.format("%08x-0000-0000-0000-%012x", index, ++Schedule.this.sequence);
				this.ledger = new OperationLedger(this.incarnation, new OperationLedger.Bounds(100, 20, 0));
				this.operations = new OwnedOperations(this.incarnation, this.ledger, this,
						new StoreOperations(null, "", this.incarnation, Runnable::run), nanos());
			}

			void run(Runnable action) {
				if (Schedule.this.hosts.get(this.index) != this) {
					return;
				}
				if (this.pausedUntil > Schedule.this.now) {
					schedule(this.pausedUntil - Schedule.this.now, () -> run(action));
				}
				else {
					action.run();
				}
			}

			@Override
			public Optional<String> host(String incarnation, long now) {
				return Schedule.this.hosts.stream()
					.filter((host) -> host.incarnation.equals(incarnation))
					.map((host) -> Integer.toString(host.index))
					.findFirst();
			}

			@Override
			public boolean send(String host, Message message) {
				Peer self = new Peer(Integer.toString(this.index), this.incarnation);
				int copies = (Schedule.this.random.nextInt(6) > 0) ? 1 : Schedule.this.random.nextInt(3);
				IntStream.range(0, copies)
					.forEach((copy) -> schedule(Schedule.this.random.nextInt(1_200),
							() -> deliver(self, host, message)));
				return true;
			}

		}

	}

	private record Event(long time, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.time != other.time) ? Long.compare(this.time, other.time)
					: Long.compare(this.order, other.order);
		}

	}

}
