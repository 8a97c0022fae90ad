package io.masticlane.share;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Link;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Region;
import io.masticlane.limit.ShareLedger;
import io.masticlane.membership.HeartbeatEchoes;
import io.masticlane.message.Message;
import io.masticlane.peer.Peer;
import io.masticlane.store.StoreException;

/**
 * A fleet of entry hosts in simulated time: clocks that drift, messages and store calls
 * that are delayed, lost or duplicated, and processes that pause, crash and restart.
 */
public final class SimulatedFleet {

	/**
	 * The length of a step in nanoseconds.
	 */
	public static final long STEP = TimeUnit.MILLISECONDS.toNanos(10);

	static final double DRIFT = 0.004;

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final List<String> REGIONS = List.of("west", "north", "delta");

	private final Random random;

	private final List<Host> hosts = new ArrayList<>();

	private final SimulatedStore store = new SimulatedStore();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long order;

	private long now;

	boolean[][] partitioned;

	boolean[] partitionedFromStore;

	boolean storeDown;

	double lossRate;

	double delayRate;

	private final List<Configuration> revisions = new ArrayList<>();

	/**
	 * Creates a new fleet.
	 * @param count the number of entry hosts
	 * @param organisations the organisations
	 * @param seed the seed of the random numbers
	 */
	public SimulatedFleet(int count, List<Organisation> organisations, long seed) {
		this.random = new Random(seed);
		this.partitioned = new boolean[count][count];
		this.partitionedFromStore = new boolean[count];
		apply(configuration(count, organisations));
		IntStream.range(0, count).forEach((index) -> this.hosts.add(new Host(index)));
	}

	/**
	 * Returns a configuration of entry hosts in three regions.
	 * @param count the number of entry hosts
	 * @param organisations the organisations
	 * @return the configuration
	 */
	public static Configuration configuration(int count, List<Organisation> organisations) {
		return Configuration.named("simulated")
			.withRegions(REGIONS.stream().map((region) -> new Region(region, 1e6)).toList())
			.withDataCentres(REGIONS.stream().map((region) -> new DataCentre(region + "-1", region)).toList())
			.withLinks(List.of(new Link("west", "north", 300, 35), new Link("north", "delta", 300, 35),
					new Link("west", "delta", 300, 35)))
			.withEntryHosts(IntStream.range(0, count)
				.mapToObj((index) -> new EntryHost("entry-" + index, REGIONS.get(index % 3) + "-1", "127.0.0.1:1",
						"127.0.0.1:2", "127.0.0.1:3"))
				.toList())
			.withOrganisations(organisations);
	}

	/**
	 * Writes a configuration to the store.
	 * @param configuration the configuration
	 */
	public void apply(Configuration configuration) {
		this.revisions.add(configuration);
	}

	/**
	 * Advances the simulated time by one step.
	 */
	public void step() {
		this.now += STEP;
		this.store.advance(this.now);
		while (!this.events.isEmpty() && this.events.peek().at() <= this.now) {
			this.events.poll().action().run();
		}
		this.hosts.forEach(Host::step);
	}

	public long now() {
		return this.now;
	}

	public Host host(int index) {
		return this.hosts.get(index);
	}

	List<Host> hosts() {
		return this.hosts;
	}

	/**
	 * Crashes the process of a host and starts another one later.
	 * @param index the index of the host
	 * @param downNanos the time until the next process starts
	 */
	public void crash(int index, long downNanos) {
		this.hosts.set(index, new Host(index));
		this.hosts.get(index).pausedUntil = this.now + downNanos;
		this.hosts.get(index).startPending = true;
	}

	private long latency(int from, int to) {
		boolean delayed = this.random.nextDouble() < this.delayRate;
		long baseMillis = (from % 3 == to % 3) ? 1 : 18;
		return delayed ? this.random.nextLong(6_000 * NANOS_PER_MILLI) : baseMillis * NANOS_PER_MILLI;
	}

	private void schedule(long time, Runnable action) {
		this.events.add(new Event(time, this.order++, action));
	}

	private boolean isMessageLost() {
		return this.random.nextDouble() < this.lossRate;
	}

	private record Event(long at, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.at != other.at) ? Long.compare(this.at, other.at) : Long.compare(this.order, other.order);
		}

	}

	/**
	 * A process on an entry host.
	 */
	public final class Host {

		private final int index;

		private final Peer peer;

		private final long clockOffset = SimulatedFleet.this.random.nextLong(1_000_000 * NANOS_PER_MILLI);

		private final double clockRate = 1 + (SimulatedFleet.this.random.nextDouble() - 0.5) * 2 * DRIFT;

		final ShareLedger ledger;

		private StoreQuorum quorum;

		private ShareManager manager;

		private LeasedShares shares;

		private RevisionConvergence convergence = new RevisionConvergence();

		private final long[] revisions;

		private long revision;

		private final HeartbeatEchoes echoes = new HeartbeatEchoes();

		private long nextHeartbeat;

		private boolean startPending = true;

		long pausedUntil;

		private Host(int index) {
			this.index = index;
			this.revisions = new long[SimulatedFleet.this.partitioned.length];
			this.peer = new Peer("entry-" + index, Long.toString(SimulatedFleet.this.random.nextLong()));
			this.ledger = new ShareLedger(this.peer.host(), SimulatedFleet.this.random.nextLong(), this::send);
		}

		private SimulatedFleet fleet() {
			return SimulatedFleet.this;
		}

		public long clock() {
			return this.clockOffset + (long) (SimulatedFleet.this.now * this.clockRate);
		}

		public boolean isRunning() {
			return this.pausedUntil <= SimulatedFleet.this.now;
		}

		public ShareLedger ledger() {
			return this.ledger;
		}

		public boolean holdsShares() {
			return this.manager != null && !this.manager.usableShares().isEmpty();
		}

		private void start() {
			this.startPending = false;
			this.quorum = new StoreQuorum(clock());
			this.shares = new LeasedShares(this.peer, SimulatedFleet.this.store.client(new StoreLink(this)), "",
					Runnable::run, this::clock, this::send, this.quorum);
			this.manager = new ShareManager(this.peer.host(), this.shares, this.quorum, new ShareManager.Listener() {
				@Override
				public void sharesChanged(Set<String> hosts, long until, long time) {
					Host.this.ledger.updateShares(hosts, until, time);
				}

				@Override
				public void sharesAcquired(Set<String> hosts) {
				}

				@Override
				public void sharesLost(Set<String> hosts) {
				}
			}, clock());
			this.shares.registerManager(this.manager);
		}

		private void configure(long next) {
			if (next > this.revision) {
				this.revision = next;
				Configuration configuration = SimulatedFleet.this.revisions.get((int) next - 1);
				List<String> names = configuration.entryHosts().stream().map(EntryHost::name).toList();
				this.ledger.configure(configuration, next, clock());
				this.manager.configure(names);
				this.convergence.configure(names.stream().filter((each) -> !each.equals(this.peer.host())).toList(),
						clock());
			}
		}

		private void step() {
			if (!isRunning()) {
				return;
			}
			if (this.startPending) {
				start();
			}
			SimulatedFleet fleet = SimulatedFleet.this;
			if (fleet.now - this.nextHeartbeat >= 0) {
				this.nextHeartbeat = fleet.now + 500 * NANOS_PER_MILLI;
				long sequence = this.echoes.nextSequence(clock());
				IntStream.range(0, fleet.hosts.size())
					.filter((each) -> each != this.index)
					.forEach((each) -> sendHeartbeat(each, sequence));
				if (!fleet.storeDown && !fleet.partitionedFromStore[this.index]) {
					configure(fleet.revisions.size());
				}
			}
			if (fleet.now % (100 * NANOS_PER_MILLI) == 0 && this.revision > 0) {
				tick();
			}
		}

		private void tick() {
			long time = clock();
			this.manager.tick(time);
			boolean converged = this.convergence.isConverged(this.revision, this.manager.hasUnconfiguredShares(),
					(name) -> {
						int other = Integer.parseInt(name.substring(6));
						return this.quorum.isResponsive(name, time) ? Optional.of(this.revisions[other])
								: Optional.empty();
					}, time);
			if (converged) {
				this.ledger.discardPreviousDivisions(this.revision, time);
			}
			this.ledger.tick(time);
		}

		private void sendHeartbeat(int other, long sequence) {
			long echo = this.echoes.echo(SimulatedFleet.this.hosts.get(other).peer);
			send("entry-" + other, new Message.Heartbeat(sequence, echo, this.revision, 0, false, 0, 0,
					this.quorum.storeCallAgeMillis(clock())));
		}

		private void send(String host, Message message) {
			SimulatedFleet fleet = SimulatedFleet.this;
			int to = Integer.parseInt(host.substring(6));
			if (fleet.partitioned[this.index][to] || fleet.isMessageLost()) {
				return;
			}
			Host receiver = fleet.hosts.get(to);
			int copies = (fleet.random.nextDouble() < fleet.lossRate) ? 2 : 1;
			IntStream.range(0, copies)
				.forEach((copy) -> fleet.schedule(fleet.now + fleet.latency(this.index, to),
						() -> arrive(receiver, message)));
		}

		private void arrive(Host receiver, Message message) {
			if (receiver.startPending || SimulatedFleet.this.hosts.get(receiver.index) != receiver) {
				return;
			}
			if (receiver.isRunning()) {
				receiver.receive(this.peer, message);
			}
			else {
				SimulatedFleet.this.schedule(receiver.pausedUntil, () -> arrive(receiver, message));
			}
		}

		private void receive(Peer from, Message message) {
			long time = clock();
			if (message instanceof Message.Heartbeat heartbeat) {
				this.quorum.heartbeatReceived(from, heartbeat.storeCallAgeMillis(),
						this.echoes.sentNotBefore(heartbeat.echo()), time);
				this.echoes.receive(from, heartbeat.sequence());
				this.revisions[Integer.parseInt(from.host().substring(6))] = heartbeat.revision();
				configure(heartbeat.revision());
			}
			else if (message instanceof Message.LoanRequest request) {
				this.ledger.receive(from.host(), request, time);
			}
			else if (message instanceof Message.LoanGrant grant) {
				this.ledger.receive(grant, time);
			}
			else if (message instanceof Message.LeaseRelay request) {
				this.shares.receive(from.host(), request);
			}
			else if (message instanceof Message.LeaseRelayed reply) {
				this.shares.receive(reply);
			}
		}

	}

	private record StoreLink(Host host) implements SimulatedStore.Link {

		@Override
		public <T> void transmit(Supplier<T> call, CompletableFuture<T> response) {
			SimulatedFleet fleet = this.host.fleet();
			long arrival = fleet.now + fleet.latency(this.host.index, 0);
			long timeout = fleet.now + 1_000 * NANOS_PER_MILLI;
			boolean reached = !fleet.storeDown && !fleet.partitionedFromStore[this.host.index]
					&& !fleet.isMessageLost();
			if (reached) {
				fleet.schedule(arrival, () -> execute(call, response));
			}
			fleet.schedule(timeout,
					() -> deliver(() -> response.completeExceptionally(new StoreException("timeout", null))));
		}

		private <T> void execute(Supplier<T> call, CompletableFuture<T> response) {
			SimulatedFleet fleet = this.host.fleet();
			if (fleet.storeDown) {
				return;
			}
			try {
				T result = call.get();
				if (!fleet.isMessageLost()) {
					fleet.schedule(fleet.now + fleet.latency(0, this.host.index),
							() -> deliver(() -> response.complete(result)));
				}
			}
			catch (StoreException ex) {
				fleet.schedule(fleet.now, () -> deliver(() -> response.completeExceptionally(ex)));
			}
		}

		private void deliver(Runnable completion) {
			SimulatedFleet fleet = this.host.fleet();
			if (fleet.hosts.get(this.host.index) != this.host) {
				return;
			}
			if (this.host.isRunning()) {
				completion.run();
			}
			else {
				fleet.schedule(this.host.pausedUntil, () -> deliver(completion));
			}
		}

	}

}
