package io.masticlane.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.masticlane.plan.PathRoute;

/**
 * Estimates how long a request would take at a server, from its queue, the service times
 * of the route, how slow the server is and how slow its machine is at present.
 */
final class ExpectedTimes {

	/**
	 * The period for which an object is assumed to stay warm on a server that served it.
	 */
	private static final long WARM_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * The additional cost of each lower rank, as a fraction of the additional time that
	 * an object takes when it is not warm. A server keeps few objects, and an object that
	 * is spread over several servers evicts others.
	 */
	private static final double RANK_PENALTY = 0.5;

	/**
	 * The period after its discovery in which a server is assumed to hold no warm
	 * objects.
	 */
	private static final long NEW_SERVER_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * The round trip to another region, about twice the one-way latency of 35 ms.
	 */
	private static final double INTER_REGION_ROUND_TRIP_MILLIS = 75;

	private final String region;

	private final Map<String, ServiceTimes> serviceTimes = new HashMap<>();

	/**
	 * Creates the estimates of a gateway.
	 * @param region the region of the gateway
	 */
	ExpectedTimes(String region) {
		this.region = region;
	}

	/**
	 * Returns the measured service times of a route.
	 * @param route the route
	 * @return its service times
	 */
	ServiceTimes of(PathRoute route) {
		return this.serviceTimes.computeIfAbsent(route.name(), (name) -> new ServiceTimes(route.objectiveMillis()));
	}

	/**
	 * Estimates the response times of a server.
	 * @param request the request
	 * @param server the server
	 * @param rank the rank of the server for the object of the request, from zero
	 * @param now the current time in nanoseconds
	 * @return the server with its expected response times
	 */
	PlacementChoice choice(PlacementRequest request, ServerState server, int rank, long now) {
		ServiceTimes times = of(request.route());
		boolean served = server.hasServed(request.object(), WARM_NANOS, now);
		boolean sticky = request.route().sticky();
		boolean warm = !sticky || served || rank == 0 && server.nanosSinceDiscovery(now) > NEW_SERVER_NANOS;
		double queueing = queueMillis(times, server, now);
		double rankPenalty = sticky ? rank * RANK_PENALTY * (times.expectedMillis(false) - times.expectedMillis(true))
				: 0;
		double slowness = server.slowness().factor(now);
		double steadyMillis = (queueing + times.expectedMillis(warm)) * slowness;
		double roundTrip = server.region().equals(this.region) ? 0 : INTER_REGION_ROUND_TRIP_MILLIS;
		double warmMillis = queueing + times.expectedMillis(true);
		double usualMillis = queueing + times.expectedMillis(served) + roundTrip;
		return new PlacementChoice(server,
				rankPenalty + steadyMillis + server.machineSpeed().additionalMillis(steadyMillis, now) + roundTrip,
				server.load(now) < server.entry().slots(), served, warmMillis, usualMillis,
				Math.max(usualMillis, warmMillis * slowness), PlacementReason.OWN);
	}

	private static double queueMillis(ServiceTimes times, ServerState server, long now) {
		int slots = Math.max(1, server.entry().slots());
		double queued = Math.max(0, server.load(now) + 1 - slots);
		return queued * times.expectedMillis(true) / slots;
	}

}
