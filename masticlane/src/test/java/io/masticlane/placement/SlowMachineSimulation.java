package io.masticlane.placement;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.stream.IntStream;

import io.masticlane.plan.PathRoute;
import io.masticlane.plan.RouteKind;
import io.masticlane.registry.RegisteredServer;

/**
 * A seeded simulation of servers on machines that take 2.5 times as long for a sixth of
 * the time, 0.6 s at a time, with the real placement of several gateways. Nothing is
 * refused. Work that is under way speeds up and slows down with its machine.
 */
final class SlowMachineSimulation {

	private static final int SERVERS = 24;

	private static final int SLOTS = 4;

	private static final int OBJECTS = 400;

	private static final int KEPT_OBJECTS = 35;

	private static final double PHASE_MILLIS = 600;

	private static final double SLOW_FACTOR = 2.5;

	private final Random random;

	private final Figure figure;

	private final PathRoute route;

	private final double workMillis;

	private final List<Server> servers = IntStream.range(0, SERVERS).mapToObj(Server::new).toList();

	private final List<Placement> gateways;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at));

	private final List<Double> responseMillis = new ArrayList<>();

	private boolean asked;

	private boolean decidedAtStart;

	SlowMachineSimulation(long seed, Figure figure, boolean sticky, double workMillis, int gatewayCount) {
		this.random = new Random(seed);
		this.figure = figure;
		this.workMillis = workMillis;
		this.route = new PathRoute("r", "/r/", RouteKind.IDEMPOTENT, 20_000, (long) workMillis, 0,
				List.of(new PathRoute.WeightedService("s", 1)), 2, true, sticky, Set.of());
		this.gateways = IntStream.range(0, gatewayCount).mapToObj((each) -> {
			Placement placement = new Placement("west", 1.5, 5);
			this.servers.forEach((server) -> placement.add(new ServerState(server.entry(), "west", -nanos(60_000))));
			return placement;
		}).toList();
	}

	/**
	 * Lets each gateway ask all servers for their figure before each request, at no cost:
	 * the bound of what asking could gain.
	 */
	void askBeforeEachRequest() {
		this.asked = true;
	}

	/**
	 * Lets the speed of a machine at the start of a request's work decide how long the
	 * work takes.
	 */
	void decideAtStart() {
		this.decidedAtStart = true;
	}

	/**
	 * Runs a load and returns its response times.
	 * @param seconds the duration in seconds
	 * @param perSecond the requests per second
	 * @return the response times in milliseconds in ascending order, without those of the
	 * first tenth of the requests, in which objects become warm
	 */
	List<Double> run(int seconds, double perSecond) {
		for (double at = 0; at < seconds * 1_000; at -= Math.log(1 - this.random.nextDouble()) / perSecond * 1_000) {
			this.events.add(new Event(at, this::send));
		}
		for (double at = 0; at < seconds * 1_000; at += 250) {
			this.events.add(new Event(at,
					(now) -> this.gateways.forEach((placement) -> placement.update(List.of(), nanos(now)))));
		}
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			next.task().accept(next.at());
		}
		return this.responseMillis.stream().skip(this.responseMillis.size() / 10).sorted().toList();
	}

	private void send(double now) {
		Placement placement = this.gateways.get(this.random.nextInt(this.gateways.size()));
		long object = Rendezvous.hash("o-" + this.random.nextInt(OBJECTS));
		if (this.asked) {
			placement.servers()
				.forEach((state) -> this.figure.of(server(state).isSlow(now), this.random)
					.ifPresent((value) -> state.machineSpeed().record(value, nanos(now))));
		}
		PlacementChoice choice = placement
			.choose(new PlacementRequest(this.route, "s", object, this.random.nextLong(), Set.of(), Set.of(),
					this.route.objectiveMillis(), 8, this.gateways.size()), nanos(now))
			.orElseThrow();
		choice.server().recordRequestSent(nanos(now));
		Server server = server(choice.server());
		server.queue.add((begun) -> server.work(object, begun, (end) -> {
			ServerState state = choice.server();
			ServerLoad load = new ServerLoad(OptionalInt.of(server.running + server.queue.size()), OptionalInt.empty(),
					OptionalInt.empty(), this.figure.of(server.isSlow(end), this.random));
			state.recordRequestEnded();
			state.recordReport(load, nanos(end));
			state.recordResponse(object, true, nanos(now), nanos(end));
			double millis = state.machineSpeed().atUsualSpeed(end - now, load);
			choice.recordResponseTime(millis, nanos(end));
			if (choice.slotFree()) {
				placement.serviceTimes(this.route).recordSample(millis, choice.warm());
			}
			this.responseMillis.add(end - now);
		}));
		server.processNext(now);
	}

	private Server server(ServerState state) {
		return this.servers.get(Integer.parseInt(state.entry().id()));
	}

	private static long nanos(double millis) {
		return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
	}

	/**
	 * What a server reports about its machine.
	 */
	@FunctionalInterface
	interface Figure {

		OptionalDouble of(boolean slow, Random random);

	}

	private record Event(double at, DoubleConsumer task) {
	}

	private final class Server {

		private final int number;

		private final Deque<DoubleConsumer> queue = new ArrayDeque<>();

		private final Map<Long, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > KEPT_OBJECTS;
			}
		};

		private final Map<Integer, Boolean> slowPhases = new HashMap<>();

		private int running;

		private Server(int number) {
			this.number = number;
		}

		private RegisteredServer entry() {
			return new RegisteredServer(String.valueOf(this.number), "s",
					InetSocketAddress.createUnresolved("10.0.0.1", 80), "west", SLOTS, false, 0, 1, 1);
		}

		private boolean isSlow(double now) {
			int phase = (int) (now / PHASE_MILLIS + this.number / (double) SERVERS);
			return this.slowPhases.computeIfAbsent(phase,
					(each) -> Math.floorMod(Rendezvous.hash(this.number + "/" + each), 6) == 0);
		}

		private void processNext(double now) {
			if (this.running < SLOTS && !this.queue.isEmpty()) {
				this.running++;
				this.queue.poll().accept(now);
			}
		}

		private void work(long object, double now, DoubleConsumer finished) {
			boolean warm = SlowMachineSimulation.this.route.sticky() && this.kept.containsKey(object);
			double left = SlowMachineSimulation.this.workMillis * (warm ? 0.3 : 1)
					* Math.exp(0.15 * SlowMachineSimulation.this.random.nextGaussian());
			double end = now;
			while (left > 0) {
				double factor = isSlow(SlowMachineSimulation.this.decidedAtStart ? now : end) ? SLOW_FACTOR : 1;
				double step = Math.min(20, left * factor);
				left -= step / factor;
				end += step;
			}
			SlowMachineSimulation.this.events.add(new Event(end, (later) -> {
				this.running--;
				this.kept.put(object, true);
				finished.accept(later);
				processNext(later);
			}));
		}

	}

}
