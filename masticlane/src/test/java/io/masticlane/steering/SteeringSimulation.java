package io.masticlane.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.masticlane.backend.BackendReport;
import io.masticlane.backend.SlotBalancer;
import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.failure.Refusal;
import io.masticlane.limit.Limits;
import io.masticlane.operation.Operation;
import io.masticlane.operation.RecordedResponse;
import io.masticlane.route.RoutingTable;
import org.HdrHistogram.Histogram;

/**
 * Simulates the decision cores of several entry hosts and the backend servers in virtual
 * time.
 */
final class SteeringSimulation {

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long SAME_REGION_ONE_WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

	private static final long OTHER_REGION_ONE_WAY_NANOS = TimeUnit.MICROSECONDS.toNanos(17_500);

	private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();

	private final Map<String, Server> servers = new TreeMap<>();

	private final Map<String, Histogram> latency = new TreeMap<>();

	private final Map<String, Integer> refused = new HashMap<>();

	private final List<Steering> hosts = new ArrayList<>();

	private final Random random;

	private RoutingTable table;

	private long now;

	private long sequence;

	SteeringSimulation(Configuration configuration, long seed) {
		this(configuration, seed, Unlimited::new);
	}

	SteeringSimulation(Configuration configuration, long seed, Supplier<Limits> limitsSupplier) {
		this.random = new Random(seed);
		this.table = RoutingTable.of(1, configuration);
		configuration.backendServers().forEach((server) -> this.servers.put(server.name(), new Server(server)));
		configuration.entryHosts().forEach((host) -> {
			Limits limits = limitsSupplier.get();
			Steering steering = new Steering(limits, null, new SlotBalancer(host.name()),
					new RegionOrder.ClosestFirst(host.dataCentre(), limits));
			steering.configure(this.table, this.now);
			this.hosts.add(steering);
			tick(steering);
		});
	}

	/**
	 * Generates a Poisson arrival process of one organisation's requests at randomly
	 * chosen entry hosts.
	 */
	void generateLoad(String organisation, double requestsPerSecond, long untilMillis, int... entryHosts) {
		long gapNanos = (long) (-Math.log(1 - this.random.nextDouble()) * TimeUnit.SECONDS.toNanos(1)
				/ requestsPerSecond);
		schedule(gapNanos, () -> {
			if (this.now < TimeUnit.MILLISECONDS.toNanos(untilMillis)) {
				new Request(organisation, entryHosts[this.random.nextInt(entryHosts.length)]).begin();
				generateLoad(organisation, requestsPerSecond, untilMillis, entryHosts);
			}
		});
	}

	void run(long untilMillis) {
		long end = TimeUnit.MILLISECONDS.toNanos(untilMillis);
		while (!this.events.isEmpty() && this.events.peek().at <= end) {
			ScheduledEvent next = this.events.remove();
			this.now = next.at;
			next.action.run();
		}
	}

	void resetStatistics() {
		this.latency.clear();
		this.refused.clear();
		this.servers.values().forEach((server) -> {
			server.shed = 0;
			server.started = 0;
		});
	}

	double latencyMillis(String organisation, double percentile) {
		return this.latency.get(organisation).getValueAtPercentile(percentile) / 1_000.0;
	}

	int refused(String organisation) {
		return this.refused.getOrDefault(organisation, 0);
	}

	int shed() {
		return this.servers.values().stream().mapToInt((server) -> server.shed).sum();
	}

	int started() {
		return this.servers.values().stream().mapToInt((server) -> server.started).sum();
	}

	int started(String server) {
		return this.servers.get(server).started;
	}

	List<Steering> hosts() {
		return this.hosts;
	}

	private void tick(Steering steering) {
		steering.tick(this.now);
		schedule(TICK_NANOS, () -> tick(steering));
	}

	private void schedule(long nanos, Runnable action) {
		this.events.add(new ScheduledEvent(this.now + nanos, this.sequence++, action));
	}

	private record ScheduledEvent(long at, long sequence, Runnable action) implements Comparable<ScheduledEvent> {

		@Override
		public int compareTo(ScheduledEvent other) {
			return (this.at != other.at) ? Long.compare(this.at, other.at)
					: Long.compare(this.sequence, other.sequence);
		}

	}

	static final class Unlimited implements Limits {

		@Override
		public void configure(Configuration configuration, long revision, long now) {
		}

		@Override
		public boolean tryAcquire(String limit, double tokens, long now) {
			return true;
		}

		@Override
		public long nanosUntilAvailable(String limit, double tokens, long now) {
			return 0;
		}

	}

	/**
	 * A backend server that sheds requests in excess of its slots.
	 */
	private static final class Server {

		private final BackendServer configured;

		private int running;

		private int started;

		private int shed;

		private Server(BackendServer configured) {
			this.configured = configured;
		}

	}

	/**
	 * A request that carries out the decisions made for it.
	 */
	private final class Request implements DecisionHandler {

		private final String organisation;

		private final int entryHost;

		private final long startedAt;

		private InFlightRequest inFlight;

		private Request(String organisation, int entryHost) {
			this.organisation = organisation;
			this.entryHost = entryHost;
			this.startedAt = SteeringSimulation.this.now;
		}

		private void begin() {
			SteeringSimulation simulation = SteeringSimulation.this;
			RoutingTable.Match match = simulation.table.match("GET", "/ledger").orElseThrow();
			IncomingRequest incoming = new IncomingRequest(this.organisation, match, Operation.NONE,
					this.startedAt + TimeUnit.SECONDS.toNanos(10), this);
			this.inFlight = steering().submit(incoming, this.startedAt);
		}

		@Override
		public void dispatch(BackendServer chosen) {
			SteeringSimulation simulation = SteeringSimulation.this;
			Server server = simulation.servers.get(chosen.name());
			String localDataCentre = simulation.table.configuration().entryHosts().get(this.entryHost).dataCentre();
			boolean sameRegion = simulation.table.region(localDataCentre)
				.equals(simulation.table.region(chosen.dataCentre()));
			long oneWayNanos = sameRegion ? SAME_REGION_ONE_WAY_NANOS : OTHER_REGION_ONE_WAY_NANOS;
			simulation.schedule(oneWayNanos, () -> {
				if (server.running >= server.configured.slots()) {
					server.shed++;
					respond(server, AttemptResult.SHED, oneWayNanos);
				}
				else {
					server.running++;
					server.started++;
					simulation.schedule(SERVICE_NANOS, () -> {
						server.running--;
						respond(server, AttemptResult.ANSWERED, oneWayNanos);
					});
				}
			});
		}

		@Override
		public void refuse(Refusal refusal) {
			SteeringSimulation.this.refused.merge(this.organisation, 1, Integer::sum);
		}

		@Override
		public void replay(RecordedResponse response) {
			throw new IllegalStateException("no request of the simulation names an operation");
		}

		private void respond(Server server, AttemptResult result, long oneWayNanos) {
			SteeringSimulation simulation = SteeringSimulation.this;
			BackendReport report = new BackendReport(server.running, server.configured.slots(), false);
			simulation.schedule(oneWayNanos, () -> {
				steering().reportReceived(server.configured.name(), report, simulation.now);
				steering().attemptEnded(this.inFlight, result, simulation.now);
				if (result == AttemptResult.ANSWERED) {
					simulation.latency.computeIfAbsent(this.organisation, (name) -> new Histogram(3))
						.recordValue(TimeUnit.NANOSECONDS.toMicros(simulation.now - this.startedAt));
				}
			});
		}

		private Steering steering() {
			return SteeringSimulation.this.hosts.get(this.entryHost);
		}

	}

}
