package io.masticlane.admission;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.masticlane.placement.Placement;
import io.masticlane.placement.PlacementChoice;
import io.masticlane.placement.PlacementRequest;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.PathRoute;
import io.masticlane.plan.RouteKind;
import io.masticlane.registry.RegisteredServer;

/**
 * A seeded model of the servers of one service in one region, driven in virtual time by
 * the real placement, admission and overload controls of several gateways. Servers take
 * 0.3 of the time for objects that they keep; a refused request is sent once more.
 */
final class OverloadModel {

	private final Random random;

	private final int slots;

	private final boolean controlled;

	private final AdmissionPolicy admission;

	private final Map<String, Server> servers;

	private final List<Gateway> gateways;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at));

	private final Map<String, int[]> outcomes = new TreeMap<>();

	private double measuredFrom;

	OverloadModel(long seed, int servers, int slots, int gateways, boolean controlled) {
		this.random = new Random(seed);
		this.slots = slots;
		this.controlled = controlled;
		this.admission = new AdmissionPolicy(this.random::nextDouble);
		this.servers = IntStream.range(0, servers)
			.boxed()
			.collect(Collectors.toMap((each) -> "server" + each, (each) -> new Server()));
		this.gateways = Stream.generate(this::createGateway).limit(gateways).toList();
	}

	void run(List<Load> loads, double seconds, double from, DoubleUnaryOperator factor) {
		this.measuredFrom = from * 1_000;
		loads.forEach((load) -> scheduleArrival(load, 0, seconds, factor));
		for (double at = 0; at < seconds * 1_000; at += 250) {
			schedule(at, this::update);
		}
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			next.task().accept(next.at());
		}
	}

	/**
	 * Returns the fraction of requests in time, late or refused.
	 * @param name the start of the name of routes or organisations
	 * @param outcome 0 in time, 1 late, 2 refused
	 * @return the largest fraction of the routes or organisations
	 */
	double fraction(String name, int outcome) {
		return this.outcomes.entrySet()
			.stream()
			.filter((each) -> each.getKey().startsWith(name))
			.mapToDouble((each) -> each.getValue()[outcome] / (double) IntStream.of(each.getValue()).sum())
			.max()
			.orElse(0);
	}

	double value(List<Load> loads) {
		return loads.stream().mapToDouble((load) -> {
			int[] counts = this.outcomes.get(load.route());
			return counts[0] * load.valueInTime() + counts[1] * load.valueLate();
		}).sum();
	}

	private void schedule(double millis, DoubleConsumer task) {
		this.events.add(new Event(millis, task));
	}

	private Gateway createGateway() {
		Placement placement = new Placement("east", 1.5, 5);
		this.servers.keySet()
			.forEach((id) -> placement.add(new ServerState(new RegisteredServer(id, "service",
					InetSocketAddress.createUnresolved("10.0.0.1", 80), "east", this.slots, false, 0, 1, 1), "east",
					nanos(-60_000))));
		return new Gateway(placement, new OverloadControls(this.random::nextDouble));
	}

	private void update(double now) {
		this.gateways.forEach((gateway) -> {
			gateway.placement().update(List.of(), nanos(now));
			gateway.controls().update(gateway.placement(), nanos(now));
		});
	}

	private void scheduleArrival(Load load, double now, double seconds, DoubleUnaryOperator factor) {
		double rate = load.perSecond() * factor.applyAsDouble(now / 1_000);
		double at = now - Math.log(1 - this.random.nextDouble()) * 1_000 / rate;
		if (at < seconds * 1_000) {
			schedule(at, (later) -> {
				send(new Call(load, load.route().hashCode() + 7919L * this.random.nextInt(load.objects()),
						"org" + this.random.nextInt(86), later, false), later);
				scheduleArrival(load, later, seconds, factor);
			});
		}
	}

	private void send(Call call, double now) {
		Gateway gateway = this.gateways.get(this.random.nextInt(this.gateways.size()));
		PathRoute route = call.load().pathRoute();
		PlacementChoice choice = gateway.placement()
			.choose(new PlacementRequest(route, "service", call.object(), this.random.nextLong(), Set.of(), Set.of(),
					route.objectiveMillis(), 8, 1), nanos(now))
			.orElseThrow();
		double objective = route.objectiveMillis() - (now - call.sentAt());
		double remaining = route.timeoutMillis() - (now - call.sentAt());
		Arrival arrival = new Arrival(
				new Arrival.Kind(route.priority(), choice.expectedMillis() > objective, route.name()),
				call.organisation(), route.priority(),
				gateway.placement().serviceTimes(route).expectedMillis(choice.warm()), route.objectiveMillis(),
				choice.slotFree(), choice.server().utilization(nanos(now)));
		OptionalDouble excess = this.controlled
				? gateway.controls().rejection(new OverloadControls.Scope("service", "east"), arrival)
				: OptionalDouble.empty();
		boolean congested = gateway.placement().isCongested("service", "east");
		double late = choice.admissionMillis(congested, false)
				- this.admission.latestResponseMillis(objective, remaining, route.priority(), congested);
		if (excess.isPresent()) {
			refuse(call, now, this.admission.retryAfterMillis(excess.getAsDouble(), remaining));
		}
		else if (late > 0 && !choice.slotFree()) {
			refuse(call, now, Math.min(remaining / 3, this.admission.retryAfterMillis(late)));
		}
		else {
			choice.server().recordRequestSent(nanos(now));
			Server server = this.servers.get(choice.server().entry().id());
			server.receive(call, (later) -> complete(call, gateway.placement(), choice, now, later), now);
		}
	}

	private void complete(Call call, Placement placement, PlacementChoice choice, double sentAt, double now) {
		ServerState state = choice.server();
		Server server = this.servers.get(state.entry().id());
		count(call, (now - call.sentAt() <= call.load().objectiveMillis()) ? 0 : 1);
		state.recordRequestEnded();
		state.recordReportedLoad(server.running + server.queue.size(), nanos(now));
		state.recordResponse(call.object(), true, nanos(sentAt), nanos(now));
		choice.recordResponseTime(now - sentAt, nanos(now));
		if (choice.slotFree()) {
			placement.serviceTimes(call.load().pathRoute()).recordSample(now - sentAt, choice.warm());
		}
	}

	private void refuse(Call call, double now, double delayMillis) {
		if (call.repeated()) {
			count(call, 2);
		}
		else {
			schedule(now + delayMillis,
					(later) -> send(new Call(call.load(), call.object(), call.organisation(), call.sentAt(), true),
							later));
		}
	}

	private void count(Call call, int outcome) {
		if (call.sentAt() >= this.measuredFrom) {
			Stream.of(call.load().route(), call.organisation())
				.forEach((name) -> this.outcomes.computeIfAbsent(name, (each) -> new int[3])[outcome]++);
		}
	}

	private static long nanos(double millis) {
		return (long) (millis * 1_000_000);
	}

	record Load(String route, int priority, double perSecond, double coldMillis, long objectiveMillis,
			long timeoutMillis, double valueInTime, double valueLate, int objects) {

		PathRoute pathRoute() {
			return new PathRoute(this.route, "/" + this.route + "/", RouteKind.IDEMPOTENT, this.timeoutMillis,
					this.objectiveMillis, this.priority, List.of(), 2, true, true, Set.of());
		}

	}

	private record Event(double at, DoubleConsumer task) {
	}

	private record Call(Load load, long object, String organisation, double sentAt, boolean repeated) {
	}

	private record Gateway(Placement placement, OverloadControls controls) {
	}

	private final class Server {

		private final Deque<DoubleConsumer> queue = new ArrayDeque<>();

		private final Map<Long, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > 35;
			}
		};

		private int running;

		private void receive(Call call, DoubleConsumer completed, double now) {
			if (this.running == OverloadModel.this.slots) {
				this.queue.add((later) -> receive(call, completed, later));
				return;
			}
			this.running++;
			double millis = call.load().coldMillis() * Math.exp(0.15 * OverloadModel.this.random.nextGaussian())
					* (this.kept.containsKey(call.object()) ? 0.3 : 1);
			schedule(now + millis, (later) -> {
				this.running--;
				this.kept.put(call.object(), true);
				completed.accept(later);
				if (!this.queue.isEmpty()) {
					this.queue.poll().accept(later);
				}
			});
		}

	}

}
