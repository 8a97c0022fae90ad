package io.masticlane.placement;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.admission.AdmissionPolicy;
import io.masticlane.plan.PathRoute;
import io.masticlane.registry.RegisteredServer;

/**
 * A seeded simulation of backend servers that are faster for objects that they served
 * lately, driven through the real placement and admission of several gateways. A server
 * runs a request for an object that it keeps in a part of the time; it keeps a bounded
 * number of objects, the least recently used of which goes first. Unlike the platform, it
 * has neither failures nor connections, and a refused request returns once.
 */
final class LoadSimulation {

	private static final String SERVICE = "ledger";

	private static final double WARM_PART = 0.3;

	private static final int KEPT_OBJECTS = 35;

	private static final int QUEUE_FACTOR = 3;

	private static final double FAR_MILLIS = 35;

	private static final long COLD_MILLIS = 3_000;

	private static final double LEAD_MILLIS = -11_000;

	private static final double REGISTRATION_MILLIS = 3_500;

	private static final double LARGEST_LAG_MILLIS = 1_200;

	private final Random random;

	private final List<Kind> kinds;

	private final List<Server> servers = new ArrayList<>();

	private final Map<String, List<Placement>> gateways = new HashMap<>();

	private final AdmissionPolicy admission;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at));

	private final Map<Integer, Tally> tallies = new HashMap<>();

	private final RegionShifts shifts = new RegionShifts();

	private final Map<String, DoubleUnaryOperator> waves = new HashMap<>();

	private final Map<String, String> services = new HashMap<>();

	private HostChoice hostOf = (now, host) -> host;

	LoadSimulation(long seed, List<Kind> kinds, Map<String, Integer> serversByRegion, int slots, int gatewaysOfRegion) {
		this.random = new Random(seed);
		this.kinds = kinds;
		this.admission = new AdmissionPolicy(this.random::nextDouble);
		serversByRegion.forEach((region, count) -> IntStream.range(0, count)
			.forEach((each) -> this.servers.add(new Server(SERVICE, region + "-" + each, region, slots))));
		serversByRegion.keySet()
			.forEach((region) -> this.gateways.put(region,
					IntStream.range(0, gatewaysOfRegion).mapToObj((each) -> gateway(region)).toList()));
	}

	/**
	 * Plays a load.
	 * @param seconds how long it lasts
	 * @param factor by how much the kinds' demand is multiplied in each second
	 * @return what callers got in each second
	 */
	Map<Integer, Tally> run(int seconds, java.util.function.IntToDoubleFunction factor) {
		this.kinds
			.forEach((kind) -> this.gateways.keySet().forEach((region) -> arrive(kind, region, 0, factor, seconds)));
		every(250, seconds,
				(now) -> this.gateways.values()
					.forEach((fleet) -> fleet.forEach((placement) -> placement.update(
							fleet.stream().filter((each) -> each != placement).map(Placement::localFractions).toList(),
							nanos(now)))));
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			next.run().at(next.at());
		}
		return this.tallies;
	}

	/**
	 * Adds a service before a load is played.
	 * @param service the name of the service
	 * @param serversByRegion the number of its servers in each region
	 * @param slots the slots of each server
	 * @param routes the kinds of requests that go to it
	 */
	void addService(String service, Map<String, Integer> serversByRegion, int slots, List<String> routes) {
		serversByRegion.forEach((region, count) -> IntStream.range(0, count)
			.forEach((each) -> join(new Server(service, service + "-" + region + "-" + each, region, slots), -60_000,
					0)));
		this.gateways.values().forEach((fleet) -> fleet.forEach((placement) -> placement.update(List.of(), 0)));
		routes.forEach((route) -> this.services.put(route, service));
	}

	/**
	 * Lets every gateway start before the servers, which register in an order of chance.
	 */
	void startBeforeServers() {
		this.gateways.replaceAll((region, fleet) -> fleet.stream().map((former) -> {
			Placement fresh = new Placement(region, 1.5, 5);
			List<Server> order = new ArrayList<>(this.servers);
			Collections.shuffle(order, this.random);
			double pause = REGISTRATION_MILLIS / order.size();
			IntStream.range(0, order.size()).forEach((index) -> {
				double at = LEAD_MILLIS + index * pause;
				fresh.add(new ServerState(order.get(index).entry(0), order.get(index).region, nanos(at)));
				fresh.update(List.of(), nanos(at));
			});
			return fresh;
		}).toList());
	}

	/**
	 * Multiplies the demand of a region.
	 * @param region the name of the region
	 * @param factor the factor at each second
	 */
	void scaleDemand(String region, DoubleUnaryOperator factor) {
		this.waves.put(region, factor);
	}

	/**
	 * Makes something happen during the load.
	 * @param second when it happens
	 * @param change what happens at that time, in milliseconds
	 */
	void schedule(double second, DoubleConsumer change) {
		this.events.add(new Event(second * 1_000, change::accept));
	}

	/**
	 * Adds cold servers to a region.
	 * @param region the name of the region
	 * @param count the number of servers
	 * @param slots the slots of each server
	 * @param now the present in milliseconds
	 */
	void addServers(String region, int count, int slots, double now) {
		IntStream.range(0, count)
			.forEach((each) -> join(new Server(SERVICE, region + "-new-" + this.servers.size(), region, slots), now,
					COLD_MILLIS));
	}

	/**
	 * Makes servers of a region leave; each gateway hears of it a little later.
	 * @param region the name of the region
	 * @param count the number of servers
	 * @param now the present in milliseconds
	 */
	void drainServers(String region, int count, double now) {
		this.servers.stream()
			.filter((server) -> server.service.equals(SERVICE) && server.region.equals(region) && !server.leaving)
			.limit(count)
			.forEach((server) -> {
				server.leaving = true;
				everyPlacement(now, (placement, at) -> placement.server(SERVICE, server.id)
					.ifPresent((state) -> state.entry(server.entry(0), nanos(at))));
			});
	}

	/**
	 * Empties a data centre, which here is a region's every second server, or ends that.
	 * @param dataCentres the emptied data centres
	 * @param now the present in milliseconds
	 */
	void evacuate(Set<String> dataCentres, double now) {
		everyPlacement(now, (placement, at) -> placement.setEvacuatedDataCentres(dataCentres));
	}

	/**
	 * Makes servers fail in the eyes of one gateway of each region.
	 * @param region the region of the servers
	 * @param failure what that gateway learns of each server, and when
	 * @param now the present in milliseconds
	 */
	void reportFailures(String region, BiConsumer<ServerState, Long> failure, double now) {
		this.gateways.values()
			.forEach((fleet) -> fleet.get(0)
				.servers()
				.stream()
				.filter((state) -> state.region().equals(region))
				.forEach((state) -> failure.accept(state, nanos(now))));
	}

	/**
	 * Sends a kind of requests to another service.
	 * @param route the name of the kind
	 * @param service the name of the service
	 */
	void reroute(String route, String service) {
		this.services.put(route, service);
	}

	/**
	 * Makes callers prefer a gateway of their region.
	 * @param choice the gateway that callers use
	 */
	void chooseGateways(HostChoice choice) {
		this.hostOf = choice;
	}

	/**
	 * Replaces a gateway of a region by one that knows nothing yet.
	 * @param region the name of the region
	 * @param now the present in milliseconds
	 */
	void replaceGateway(String region, double now) {
		List<Placement> fleet = new ArrayList<>(this.gateways.get(region));
		Placement fresh = new Placement(region, 1.5, 5);
		this.servers.forEach((server) -> fresh.add(new ServerState(server.entry(0), server.region, nanos(now))));
		fresh.update(List.of(), nanos(now));
		fleet.set(0, fresh);
		this.gateways.put(region, List.copyOf(fleet));
	}

	/**
	 * Returns where requests ran.
	 * @return the regions of the requests
	 */
	RegionShifts shifts() {
		return this.shifts;
	}

	/**
	 * Adds up what callers got in some seconds.
	 * @param from the first second
	 * @param to the second after the last one
	 * @return the sum
	 */
	Tally total(int from, int to) {
		Tally sum = new Tally();
		IntStream.range(from, to)
			.mapToObj((second) -> this.tallies.getOrDefault(second, new Tally()))
			.forEach(sum::add);
		return sum;
	}

	private Placement gateway(String region) {
		Placement placement = new Placement(region, 1.5, 5);
		this.servers
			.forEach((server) -> placement.add(new ServerState(server.entry(0), server.region, -nanos(60_000))));
		placement.update(List.of(), 0);
		return placement;
	}

	/**
	 * Returns by how much the gateways of a region differ in the part of a service's
	 * objects that they serve in the region.
	 * @param region the name of the region
	 * @return the largest difference
	 */
	double disagreement(String region) {
		List<Double> parts = this.gateways.get(region)
			.stream()
			.map((placement) -> placement.localFractions().getOrDefault(SERVICE, -1.0))
			.toList();
		return Collections.max(parts) - Collections.min(parts);
	}

	private void join(Server server, double now, long coldMillis) {
		this.servers.add(server);
		everyPlacement(now,
				(placement, at) -> placement.add(new ServerState(server.entry(coldMillis), server.region, nanos(at))));
	}

	private void everyPlacement(double now, BiConsumer<Placement, Double> change) {
		this.gateways.values().forEach((fleet) -> fleet.forEach((placement) -> {
			if (now < 0) {
				change.accept(placement, now);
			}
			else {
				this.events.add(new Event(now + this.random.nextDouble() * LARGEST_LAG_MILLIS,
						(at) -> change.accept(placement, at)));
			}
		}));
	}

	private void every(double millis, int seconds, Task task) {
		for (double at = 0; at < seconds * 1_000; at += millis) {
			this.events.add(new Event(at, task));
		}
	}

	private void arrive(Kind kind, String region, double now, java.util.function.IntToDoubleFunction factor,
			int seconds) {
		double rate = kind.perSecond() / this.gateways.size() * factor.applyAsDouble((int) (now / 1_000))
				* this.waves.getOrDefault(region, (second) -> 1).applyAsDouble(now / 1_000);
		double at = now - Math.log(1 - this.random.nextDouble()) / rate * 1_000;
		if (at < seconds * 1_000) {
			this.events.add(new Event(at, (present) -> {
				long object = Rendezvous.hash(kind.name() + this.random.nextInt(kind.objects()));
				ask(new Ask(kind, region, object, present, 0), present);
				arrive(kind, region, present, factor, seconds);
			}));
		}
	}

	private void ask(Ask ask, double now) {
		List<Placement> fleet = this.gateways.get(ask.region());
		Placement placement = fleet.get(this.hostOf.applyAsInt(now, this.random.nextInt(fleet.size())));
		PathRoute route = ask.kind().route();
		String service = this.services.getOrDefault(ask.kind().name(), SERVICE);
		Optional<Placement.Choice> choice = placement.choose(new Placement.Request(route, service, ask.object(),
				this.random.nextLong(), Set.of(), Set.of(), route.objectiveMillis(), 8, fleet.size()), nanos(now));
		boolean crowded = choice.isPresent() && placement.isCongested(service, choice.get().server().region());
		double latest = this.admission.latestResponseMillis(route.objectiveMillis(), route.timeoutMillis(),
				route.priority(), crowded);
		double expected = choice.map((each) -> crowded ? each.expectedWarmMillis() : each.expectedMillis()).orElse(0.0);
		if (choice.isEmpty() || expected > latest && !choice.get().slotFree()) {
			refused(ask, now, this.admission.retryAfterMillis(expected - latest));
			return;
		}
		Server server = this.servers.stream()
			.filter((each) -> each.id.equals(choice.get().server().entry().id()))
			.findFirst()
			.orElseThrow();
		ServerState state = choice.get().server();
		state.recordRequestSent(nanos(now));
		double way = server.region.equals(ask.region()) ? 1 : FAR_MILLIS;
		this.events.add(new Event(now + way,
				(present) -> server.receive(new Work(ask, placement, choice.get(), now, way), present)));
	}

	private void refused(Ask ask, double now, double returnMillis) {
		if (ask.tries() == 0) {
			double delay = Math.min(returnMillis, ask.kind().deadlineMillis() / 3.0);
			this.events.add(new Event(now + delay,
					(present) -> ask(new Ask(ask.kind(), ask.region(), ask.object(), ask.askedAt(), 1), present)));
		}
		else {
			tally(ask).refused++;
		}
	}

	private Tally tally(Ask ask) {
		return this.tallies.computeIfAbsent((int) (ask.askedAt() / 1_000), (second) -> new Tally());
	}

	private static long nanos(double millis) {
		return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
	}

	/**
	 * The gateway that a caller uses, which may differ from the one drawn.
	 */
	@FunctionalInterface
	interface HostChoice {

		int applyAsInt(double millis, int drawn);

	}

	/**
	 * Something that happens at a time.
	 */
	@FunctionalInterface
	private interface Task {

		void at(double millis);

	}

	private record Event(double at, Task run) {
	}

	private record Ask(Kind kind, String region, long object, double askedAt, int tries) {
	}

	private record Work(Ask ask, Placement placement, Placement.Choice choice, double sentAt, double way) {
	}

	/**
	 * A kind of request.
	 *
	 * @param name the name
	 * @param perSecond the requests a second
	 * @param objects the objects that they concern
	 * @param workMillis the work on an object that the server does not keep
	 * @param deadlineMillis how long callers wait
	 * @param route the route
	 */
	record Kind(String name, double perSecond, int objects, double workMillis, long deadlineMillis, PathRoute route) {

		static Kind of(String name, double perSecond, int objects, double workMillis, long objectiveMillis,
				long timeoutMillis, int priority) {
			return new Kind(name, perSecond, objects, workMillis, 4_000,
					new PathRoute(name, "/" + name + "/", true, timeoutMillis, objectiveMillis, priority,
							List.of(new PathRoute.WeightedService(SERVICE, 1)), 2, true, true, Set.of()));
		}

	}

	/**
	 * What callers got.
	 */
	static final class Tally {

		private int inTime;

		private int late;

		private int refused;

		private int timedOut;

		int asked() {
			return this.inTime + this.late + this.refused + this.timedOut;
		}

		double inTimeFraction() {
			return this.inTime / (double) Math.max(1, asked());
		}

		private void add(Tally other) {
			this.inTime += other.inTime;
			this.late += other.late;
			this.refused += other.refused;
			this.timedOut += other.timedOut;
		}

		@Override
		public String toString() {
			return "in time " + this.inTime + ", late " + this.late + ", refused " + this.refused + ", timed out "
					+ this.timedOut;
		}

	}

	private final class Server {

		private final String service;

		private final String id;

		private final String region;

		private final int slots;

		private final Deque<Work> queue = new ArrayDeque<>();

		private final Map<Long, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > KEPT_OBJECTS;
			}
		};

		private int running;

		private boolean leaving;

		private Server(String service, String id, String region, int slots) {
			this.service = service;
			this.id = id;
			this.region = region;
			this.slots = slots;
		}

		private RegisteredServer entry(long coldMillis) {
			return new RegisteredServer(this.id, this.service, InetSocketAddress.createUnresolved("10.0.0.1", 80),
					dataCentre(), this.slots, this.leaving, coldMillis, 1, 1);
		}

		private String dataCentre() {
			return this.region + "-" + (LoadSimulation.this.servers.indexOf(this) % 2);
		}

		private void receive(Work work, double now) {
			if (this.running < this.slots) {
				run(work, now);
			}
			else if (this.queue.size() < this.slots * QUEUE_FACTOR) {
				this.queue.add(work);
			}
			else {
				answer(work, now, false, false);
			}
		}

		private void run(Work work, double now) {
			this.running++;
			LoadSimulation.this.shifts.recordRun(work.ask().region(), work.ask().object(), this.region, now);
			boolean warm = this.kept.containsKey(work.ask().object());
			double spread = Math.exp(0.15 * LoadSimulation.this.random.nextGaussian());
			double millis = work.ask().kind().workMillis() * spread * (warm ? WARM_PART : 1);
			double limit = work.sentAt() + work.ask().kind().route().timeoutMillis();
			double end = Math.min(now + millis, Math.max(now, limit));
			boolean done = now + millis <= limit;
			LoadSimulation.this.events.add(new Event(end, (present) -> {
				this.running--;
				if (done) {
					this.kept.put(work.ask().object(), true);
				}
				Work next = this.queue.poll();
				if (next != null) {
					run(next, present);
				}
				answer(work, present, true, done);
			}));
		}

		private void answer(Work work, double now, boolean ran, boolean done) {
			int load = this.running + this.queue.size();
			LoadSimulation.this.events.add(new Event(now + work.way(), (present) -> {
				ServerState state = work.choice().server();
				state.recordRequestEnded();
				state.recordReportedLoad(load, nanos(present));
				if (done) {
					state.recordResponse(work.ask().object(), true, nanos(work.sentAt()), nanos(present));
					if (work.choice().slotFree()) {
						work.placement()
							.serviceTimes(work.ask().kind().route())
							.recordSample(present - work.sentAt(), work.choice().warm());
					}
					boolean inTime = present - work.ask().askedAt() <= work.ask().kind().route().objectiveMillis();
					tally(work.ask()).inTime += inTime ? 1 : 0;
					tally(work.ask()).late += inTime ? 0 : 1;
				}
				else if (ran) {
					tally(work.ask()).timedOut++;
				}
				else {
					refused(work.ask(), present, 300);
				}
			}));
		}

	}

}
