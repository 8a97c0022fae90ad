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
import io.masticlane.operation.RecordedAnswer;
import io.masticlane.route.RoutingTable;
import org.HdrHistogram.Histogram;

/**
 * Several decision cores and backend servers in virtual time.
 */
final class SteeringSimulation {

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long NEAR_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

	private static final long FAR_NANOS = TimeUnit.MICROSECONDS.toNanos(17_500);

	private final PriorityQueue<Scheduled> agenda = new PriorityQueue<>();

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

	SteeringSimulation(Configuration configuration, long seed, Supplier<Limits> limitsOfHost) {
		this.random = new Random(seed);
		this.table = RoutingTable.of(1, configuration);
		configuration.backendServers().forEach((server) -> this.servers.put(server.name(), new Server(server)));
		configuration.entryHosts().forEach((host) -> {
			Limits limits = limitsOfHost.get();
			Steering steering = new Steering(limits, null, new SlotBalancer(host.name()),
					new RegionOrder.ClosestFirst(host.dataCentre(), limits));
			steering.configure(this.table, this.now);
			this.hosts.add(steering);
			tick(steering);
		});
	}

	/**
	 * Lets an organisation send requests with random gaps, at random entry hosts.
	 */
	void load(String organisation, double requestsPerSecond, long untilMillis, int... entryHosts) {
		long gap = (long) (-Math.log(1 - this.random.nextDouble()) * TimeUnit.SECONDS.toNanos(1) / requestsPerSecond);
		after(gap, () -> {
			if (this.now < TimeUnit.MILLISECONDS.toNanos(untilMillis)) {
				new Request(organisation, entryHosts[this.random.nextInt(entryHosts.length)]).begin();
				load(organisation, requestsPerSecond, untilMillis, entryHosts);
			}
		});
	}

	void run(long untilMillis) {
		long end = TimeUnit.MILLISECONDS.toNanos(untilMillis);
		while (!this.agenda.isEmpty() && this.agenda.peek().at <= end) {
			Scheduled next = this.agenda.remove();
			this.now = next.at;
			next.action.run();
		}
	}

	void resetStatistics() {
		this.latency.clear();
		this.refused.clear();
		this.servers.values().forEach((server) -> {
			server.shed = 0;
			server.begun = 0;
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

	int begun() {
		return this.servers.values().stream().mapToInt((server) -> server.begun).sum();
	}

	int begun(String server) {
		return this.servers.get(server).begun;
	}

	List<Steering> hosts() {
		return this.hosts;
	}

	private void tick(Steering steering) {
		steering.tick(this.now);
		after(TICK_NANOS, () -> tick(steering));
	}

	private void after(long nanos, Runnable action) {
		this.agenda.add(new Scheduled(this.now + nanos, this.sequence++, action));
	}

	private record Scheduled(long at, long sequence, Runnable action) implements Comparable<Scheduled> {

		@Override
		public int compareTo(Scheduled other) {
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
	 * A backend server that sheds what exceeds its slots.
	 */
	private static final class Server {

		private final BackendServer configured;

		private int running;

		private int begun;

		private int shed;

		private Server(BackendServer configured) {
			this.configured = configured;
		}

	}

	/**
	 * A request and the carrier of the decisions on it.
	 */
	private final class Request implements DecisionHandler {

		private final String organisation;

		private final int entryHost;

		private final long began;

		private InFlightRequest flight;

		private Request(String organisation, int entryHost) {
			this.organisation = organisation;
			this.entryHost = entryHost;
			this.began = SteeringSimulation.this.now;
		}

		private void begin() {
			SteeringSimulation simulation = SteeringSimulation.this;
			RoutingTable.Match match = simulation.table.match("GET", "/ledger").orElseThrow();
			IncomingRequest arrival = new IncomingRequest(this.organisation, match, Operation.NONE,
					this.began + TimeUnit.SECONDS.toNanos(10), this);
			this.flight = steering().submit(arrival, this.began);
		}

		@Override
		public void dispatch(BackendServer chosen) {
			SteeringSimulation simulation = SteeringSimulation.this;
			Server server = simulation.servers.get(chosen.name());
			String own = simulation.table.configuration().entryHosts().get(this.entryHost).dataCentre();
			boolean near = simulation.table.region(own).equals(simulation.table.region(chosen.dataCentre()));
			long way = near ? NEAR_NANOS : FAR_NANOS;
			simulation.after(way, () -> {
				if (server.running >= server.configured.slots()) {
					server.shed++;
					answer(server, AttemptResult.SHED, way);
				}
				else {
					server.running++;
					server.begun++;
					simulation.after(SERVICE_NANOS, () -> {
						server.running--;
						answer(server, AttemptResult.ANSWERED, way);
					});
				}
			});
		}

		@Override
		public void refuse(Refusal refusal) {
			SteeringSimulation.this.refused.merge(this.organisation, 1, Integer::sum);
		}

		@Override
		public void replay(RecordedAnswer answer) {
			throw new IllegalStateException("no request of the simulation names an operation");
		}

		private void answer(Server server, AttemptResult end, long way) {
			SteeringSimulation simulation = SteeringSimulation.this;
			BackendReport report = new BackendReport(server.running, server.configured.slots(), false);
			simulation.after(way, () -> {
				steering().reportReceived(server.configured.name(), report, simulation.now);
				steering().attemptEnded(this.flight, end, simulation.now);
				if (end == AttemptResult.ANSWERED) {
					simulation.latency.computeIfAbsent(this.organisation, (name) -> new Histogram(3))
						.recordValue(TimeUnit.NANOSECONDS.toMicros(simulation.now - this.began));
				}
			});
		}

		private Steering steering() {
			return SteeringSimulation.this.hosts.get(this.entryHost);
		}

	}

}
