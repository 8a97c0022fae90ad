package io.masticlane.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.masticlane.admission.Room;
import io.masticlane.admission.RoomSource;
import io.masticlane.plan.PathRoute;

/**
 * Chooses a backend server for a request. The servers of a region are ranked for each
 * object by rendezvous hashing, identically on every gateway. Of the highest-ranked
 * servers, the one with the lowest expected response time is chosen, so that a second
 * server receives an object only while queueing at the first one costs more than serving
 * an object that is not warm, that is, that the server has not recently served.
 */
public final class Placement implements RoomSource {

	/**
	 * The number of highest-ranked servers that may serve an object.
	 */
	private static final int CANDIDATES_PER_OBJECT = 3;

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
	 * The slowness of an object's server above which other servers receive the object
	 * although the region is congested.
	 */
	private static final double SPREADING_SLOWNESS = 4;

	/**
	 * The period after its discovery in which a server is assumed to hold no warm
	 * objects.
	 */
	private static final long NEW_SERVER_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * The round trip to another region, about twice the one-way latency of 35 ms.
	 */
	private static final double INTER_REGION_ROUND_TRIP_MILLIS = 75;

	/**
	 * The fraction of a cold server's request bound that is used, as there may be more
	 * gateways than this one knows of.
	 */
	private static final double COLD_BOUND_FRACTION = 0.8;

	/**
	 * The maximum fraction of a service's servers that is excluded because of failures;
	 * beyond it, ejections are ignored.
	 */
	private static final double MAXIMUM_EJECTED_FRACTION = 0.4;

	/**
	 * The fraction of requests that may immediately overflow to another region when the
	 * assigned region is overloaded.
	 */
	private static final double OVERFLOW_TOKENS_PER_REQUEST = 0.03;

	/**
	 * The maximum number of overflow tokens; each request that overflows uses one.
	 */
	private static final double MAXIMUM_OVERFLOW_TOKENS = 4;

	/**
	 * The period without requests after which the region split of a route is discarded.
	 */
	private static final long UNUSED_ROUTE_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final ServiceServers NO_SERVERS = new ServiceServers();

	private static final Comparator<Ranked> BY_SCORE_DESCENDING = (one, other) -> Double.compare(other.score(),
			one.score());

	private final String region;

	private double coldOvershoot;

	private double coldSlack;

	private final Map<String, ServiceServers> services = new HashMap<>();

	private final Map<String, RegionSplitController> splitControllers = new HashMap<>();

	private final Map<String, RouteRegionSplit> routeSplits = new HashMap<>();

	private final Map<String, ObjectAssignment> assignments = new HashMap<>();

	private final Map<String, CongestionDetector> congestionDetectors = new HashMap<>();

	private final Map<String, ServiceTimes> serviceTimes = new HashMap<>();

	private Set<String> evacuatedDataCentres = Set.of();

	private Set<String> outdatedServices = Set.of();

	private double overflowTokens = MAXIMUM_OVERFLOW_TOKENS;

	private long updatedAt;

	/**
	 * Creates a placement without servers.
	 * @param region the region of the gateway
	 * @param coldOvershoot the factor by which a cold server's rate may be exceeded
	 * @param coldSlack the requests per second that a cold server may receive in addition
	 */
	public Placement(String region, double coldOvershoot, double coldSlack) {
		this.region = region;
		this.coldOvershoot = coldOvershoot;
		this.coldSlack = coldSlack;
	}

	/**
	 * Sets the bounds on the request rate of cold servers.
	 * @param overshoot the factor by which a cold server's rate may be exceeded
	 * @param slack the requests per second that a cold server may receive in addition
	 */
	public void setColdBounds(double overshoot, double slack) {
		this.coldOvershoot = overshoot;
		this.coldSlack = slack;
	}

	/**
	 * Adds a server.
	 * @param server the server
	 */
	public void add(ServerState server) {
		this.services.computeIfAbsent(server.entry().service(), (service) -> new ServiceServers()).add(server);
	}

	/**
	 * Removes a server.
	 * @param service the name of its service
	 * @param id its identifier
	 */
	public void remove(String service, String id) {
		servers(service).remove(id);
	}

	/**
	 * Finds a server.
	 * @param service the name of its service
	 * @param id its identifier
	 * @return the server, if it is known
	 */
	public Optional<ServerState> server(String service, String id) {
		return servers(service).find(id);
	}

	/**
	 * Returns the servers of all services.
	 * @return the servers
	 */
	public List<ServerState> servers() {
		return this.services.values().stream().flatMap((each) -> each.all().stream()).toList();
	}

	/**
	 * Replaces the set of data centres whose servers receive no requests.
	 * @param dataCentres the evacuated data centres
	 */
	public void setEvacuatedDataCentres(Set<String> dataCentres) {
		this.evacuatedDataCentres = Set.copyOf(dataCentres);
	}

	/**
	 * Replaces the set of services whose servers may have become cold unnoticed, since
	 * the store does not respond. Until such a server reports that it is not cold, it
	 * receives no more requests than a cold one may.
	 * @param names the names of the services
	 */
	public void setOutdatedServices(Set<String> names) {
		this.outdatedServices = Set.copyOf(names);
	}

	/**
	 * Returns whether a server that may have become cold unnoticed soon receives no more
	 * requests unless it reports that it is not cold. Servers that are to receive no
	 * requests are not asked either.
	 * @param server the server
	 * @param coldRequestsPerSecond the rate of requests that a cold server of the service
	 * can handle
	 * @param gatewaysInRegion the number of gateways in the region
	 * @param now the current time in nanoseconds
	 * @return whether the server is to be asked
	 */
	public boolean isNearColdBound(ServerState server, double coldRequestsPerSecond, int gatewaysInRegion, long now) {
		int sent = server.possiblyColdRequestsInLastSecond(now);
		return sent > 0 && isInService(server, now) && !server.isCold(now)
				&& 2 * sent >= possiblyColdAllowance(server, coldRequestsPerSecond, gatewaysInRegion);
	}

	/**
	 * Updates congestion and the region splits from the load of the servers.
	 * @param others the {@link #localFractions()} that the other gateways of the region
	 * reported
	 * @param now the current time in nanoseconds
	 */
	public void update(List<Map<String, Double>> others, long now) {
		this.services.forEach((service, servers) -> {
			Map<String, RegionLoad> loads = servers.loads((server) -> isInService(server, now), now);
			loads.forEach((name, each) -> this.congestionDetectors
				.computeIfAbsent(service + "@" + name, (key) -> new CongestionDetector())
				.update(each.utilization()));
			if (!loads.isEmpty()) {
				splitController(service).update(loads,
						others.stream()
							.filter((each) -> each.containsKey(service))
							.map((each) -> each.get(service))
							.toList(),
						now);
			}
		});
		double seconds = (now - this.updatedAt) / (double) TimeUnit.SECONDS.toNanos(1);
		this.updatedAt = now;
		this.routeSplits.values().removeIf((route) -> now - route.lastUsedAt() > UNUSED_ROUTE_NANOS);
		this.routeSplits.values().forEach((route) -> route.update(seconds));
	}

	/**
	 * Chooses a server.
	 * @param request the request to place
	 * @param now the current time in nanoseconds
	 * @return the choice, or empty if no server may receive the request
	 */
	public Optional<Choice> choose(Request request, long now) {
		this.overflowTokens = Math.min(MAXIMUM_OVERFLOW_TOKENS, this.overflowTokens + OVERFLOW_TOKENS_PER_REQUEST);
		UsableServers servers = servers(request.service()).usableServers(
				(server) -> isInService(server, now) && !server.isReturnLimitReached(now) && isAllowed(request, server),
				(server) -> !server.isEjected(now), 1 - MAXIMUM_EJECTED_FRACTION);
		if (servers.isEmpty()) {
			return Optional.empty();
		}
		String assignedRegion = this.routeSplits
			.computeIfAbsent(request.route().name(), (route) -> new RouteRegionSplit())
			.splitFor(splitController(request.service()), now)
			.regionOf(request.object(), request.requestHash(), servers.regions());
		Reason reason = assignmentReason(request, assignedRegion);
		Optional<Choice> healthyChoice = chooseFastest(request, servers.healthy(assignedRegion), now);
		Optional<Choice> best = healthyChoice
			.or(() -> chooseFastest(request, excludeCold(servers.all(assignedRegion), now), now))
			.map((each) -> each.withReason(reason));
		boolean overloaded = healthyChoice.isEmpty()
				|| healthyChoice.get().expectedMillis() > request.objectiveMillis();
		if (overloaded && (best.isEmpty() || this.overflowTokens >= 1)) {
			List<ServerState> otherServers = servers.regions()
				.stream()
				.filter((name) -> !name.equals(assignedRegion) && !servers.healthy(name).isEmpty())
				.map((name) -> highestRanked(request, servers.healthy(name)))
				.toList();
			Optional<Choice> alternative = chooseFastest(request, otherServers, now);
			if (alternative.isPresent() && (healthyChoice.isEmpty()
					|| alternative.get().expectedMillis() < healthyChoice.get().expectedMillis())) {
				this.overflowTokens = Math.max(0, this.overflowTokens - 1);
				Reason overflowReason = best.isEmpty() ? Reason.NO_CANDIDATE : Reason.OVERFLOW;
				return alternative.map((each) -> each.withReason(overflowReason));
			}
		}
		return best;
	}

	/**
	 * Returns how long it takes until a server that wants no requests at present, or no
	 * more after a pause, may receive this one.
	 * @param request the request to place
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds, or empty if no server is pausing or returning
	 */
	public OptionalLong pauseMillis(Request request, long now) {
		return servers(request.service()).all()
			.stream()
			.filter((server) -> !server.isLeaving(now) && isAllowed(request, server))
			.mapToLong((server) -> server.isReturnLimitReached(now) ? Math.max(1, server.pauseMillis(now))
					: server.pauseMillis(now))
			.filter((millis) -> millis > 0)
			.min();
	}

	/**
	 * Returns the measured service times of a route.
	 * @param route the route
	 * @return its service times
	 */
	public ServiceTimes serviceTimes(PathRoute route) {
		return this.serviceTimes.computeIfAbsent(route.name(), (name) -> new ServiceTimes(route.objectiveMillis()));
	}

	/**
	 * Returns whether the servers of a service in a region are congested, that is, have
	 * almost no free slots.
	 * @param service the name of the service
	 * @param name the name of the region
	 * @return whether the servers are congested
	 */
	public boolean isCongested(String service, String name) {
		CongestionDetector detector = this.congestionDetectors.get(service + "@" + name);
		return detector != null && detector.isCongested();
	}

	@Override
	public Room room(String service, String region, long now) {
		return servers(service).room(region, (server) -> isInService(server, now), now);
	}

	/**
	 * Returns the fraction of each service's objects that the gateway's region serves
	 * itself. Services are omitted until there is traffic.
	 * @return the fractions by service, from 0 to 1
	 */
	public Map<String, Double> localFractions() {
		return this.splitControllers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isInitialized())
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().localFraction()));
	}

	private Reason assignmentReason(Request request, String assignedRegion) {
		if (!request.allowedRegions().isEmpty()) {
			return Reason.BOUND;
		}
		return assignedRegion.equals(this.region) ? Reason.OWN : Reason.ASSIGNED;
	}

	private boolean isInService(ServerState server, long now) {
		return !server.isLeaving(now) && server.pauseMillis(now) == 0 && (this.evacuatedDataCentres.isEmpty()
				|| !this.evacuatedDataCentres.contains(server.entry().dataCentre()));
	}

	private static boolean isAllowed(Request request, ServerState server) {
		return (request.excluded().isEmpty() || !request.excluded().contains(server.entry().id()))
				&& (request.allowedRegions().isEmpty() || request.allowedRegions().contains(server.region()));
	}

	private ServiceServers servers(String service) {
		return this.services.getOrDefault(service, NO_SERVERS);
	}

	private RegionSplitController splitController(String service) {
		return this.splitControllers.computeIfAbsent(service, (name) -> new RegionSplitController(this.region));
	}

	private Optional<Choice> chooseFastest(Request request, List<ServerState> servers, long now) {
		boolean outdated = this.outdatedServices.contains(request.service());
		Predicate<ServerState> usable = (each) -> !each.isCold(now)
				&& (!outdated || hasPossiblyColdCapacity(each, request, now));
		List<ServerState> candidates = servers.stream().filter(usable).toList();
		if (candidates.isEmpty()) {
			candidates = servers.stream()
				.filter((each) -> each.isCold(now) && hasColdCapacity(each, request, now))
				.toList();
		}
		List<ServerState> ranked = withAssignedFirst(request, ranked(request, candidates), now);
		List<Choice> choices = new ArrayList<>();
		boolean congested = !ranked.isEmpty() && isCongested(request.service(), ranked.get(0).region());
		boolean spread = !congested || ranked.get(0).slowness().factor(now) > SPREADING_SLOWNESS;
		// Where no server has free slots, another one would only hold the object as well.
		ranked.stream()
			.limit(spread ? CANDIDATES_PER_OBJECT : 1)
			.forEach((server) -> choices.add(choice(request, server, choices.size(), now)));
		return choices.stream().min(Comparator.comparingDouble(Choice::expectedMillis));
	}

	private static List<ServerState> excludeCold(List<ServerState> servers, long now) {
		return servers.stream().filter((each) -> !each.isCold(now)).toList();
	}

	private List<ServerState> withAssignedFirst(Request request, List<ServerState> ranked, long now) {
		boolean local = !ranked.isEmpty() && ranked.get(0).region().equals(this.region);
		if (!local || !request.route().sticky() || !request.excluded().isEmpty()) {
			return ranked;
		}
		int index = this.assignments.computeIfAbsent(request.service(), (service) -> new ObjectAssignment())
			.assign(request.object(), ranked, now);
		List<ServerState> reordered = new ArrayList<>(ranked);
		reordered.add(0, reordered.remove(index));
		return reordered;
	}

	private static ServerState highestRanked(Request request, List<ServerState> servers) {
		return Collections.max(servers, Comparator.comparingDouble((server) -> score(request, server)));
	}

	private static double score(Request request, ServerState server) {
		return Rendezvous.score(request.object(), server.hash(), Math.max(1, server.entry().slots()));
	}

	private static List<ServerState> ranked(Request request, Collection<ServerState> servers) {
		List<Ranked> ranked = new ArrayList<>(servers.size());
		servers.forEach((server) -> ranked.add(new Ranked(score(request, server), server)));
		ranked.sort(BY_SCORE_DESCENDING);
		return ranked.stream().map(Ranked::server).toList();
	}

	private Choice choice(Request request, ServerState server, int rank, long now) {
		ServiceTimes times = serviceTimes(request.route());
		boolean served = server.hasServed(request.object(), WARM_NANOS, now);
		boolean sticky = request.route().sticky();
		boolean warm = !sticky || served || rank == 0 && server.nanosSinceDiscovery(now) > NEW_SERVER_NANOS;
		double queueing = queueMillis(times, server, now);
		double rankPenalty = sticky ? rank * RANK_PENALTY * (times.expectedMillis(false) - times.expectedMillis(true))
				: 0;
		double slowness = server.slowness().factor(now);
		double roundTrip = server.region().equals(this.region) ? 0 : INTER_REGION_ROUND_TRIP_MILLIS;
		double warmMillis = queueing + times.expectedMillis(true);
		double usualMillis = queueing + times.expectedMillis(served) + roundTrip;
		return new Choice(server, rankPenalty + (queueing + times.expectedMillis(warm)) * slowness + roundTrip,
				server.load(now) < server.entry().slots(), served, warmMillis, usualMillis,
				Math.max(usualMillis, warmMillis * slowness), Reason.OWN);
	}

	private static double queueMillis(ServiceTimes times, ServerState server, long now) {
		int slots = Math.max(1, server.entry().slots());
		double queued = Math.max(0, server.load(now) + 1 - slots);
		return queued * times.expectedMillis(true) / slots;
	}

	private boolean hasColdCapacity(ServerState server, Request request, long now) {
		return server.region().equals(this.region)
				&& server.possiblyColdRequestsInLastSecond(now) < coldAllowance(request.coldRequestsPerSecond(),
						request.gatewaysInRegion());
	}

	private boolean hasPossiblyColdCapacity(ServerState server, Request request, long now) {
		return server.possiblyColdRequestsInLastSecond(now) < possiblyColdAllowance(server,
				request.coldRequestsPerSecond(), request.gatewaysInRegion());
	}

	// The gateways of the server's own region divide the bound among them, so those of
	// other regions send one request at a time.
	private int possiblyColdAllowance(ServerState server, double coldRequestsPerSecond, int gatewaysInRegion) {
		return server.region().equals(this.region) ? Math.max(1, coldAllowance(coldRequestsPerSecond, gatewaysInRegion))
				: 1;
	}

	private int coldAllowance(double coldRequestsPerSecond, int gatewaysInRegion) {
		double bound = coldRequestsPerSecond * this.coldOvershoot + this.coldSlack;
		return (int) Math.min(RequestTimes.CAPACITY, bound * COLD_BOUND_FRACTION / gatewaysInRegion);
	}

	private record Ranked(double score, ServerState server) {
	}

	/**
	 * A request that a server is chosen for.
	 *
	 * @param route the route
	 * @param service the name of the service, one of the route's services
	 * @param object the hash of the object, or of the request if it names no object
	 * @param requestHash the hash of the request, different for each request
	 * @param allowedRegions the regions that may serve the request; empty if all may
	 * @param excluded the identifiers of the servers that already received the request
	 * @param objectiveMillis the response time objective of the route
	 * @param coldRequestsPerSecond the rate of requests that a cold server of the service
	 * can handle
	 * @param gatewaysInRegion the number of gateways in the region, which share that rate
	 */
	public record Request(PathRoute route, String service, long object, long requestHash, Set<String> allowedRegions,
			Set<String> excluded, double objectiveMillis, double coldRequestsPerSecond, int gatewaysInRegion) {

		public Request {
			allowedRegions = Set.copyOf(allowedRegions);
			excluded = Set.copyOf(excluded);
		}

		/**
		 * Returns the request for another attempt.
		 * @param tried the identifiers of the servers that already received the request
		 * @return the request without those servers
		 */
		public Request withExcluded(Set<String> tried) {
			return new Request(this.route, this.service, this.object, this.requestHash, this.allowedRegions, tried,
					this.objectiveMillis, this.coldRequestsPerSecond, this.gatewaysInRegion);
		}

	}

	/**
	 * A chosen server.
	 *
	 * @param server the server
	 * @param expectedMillis the expected response time
	 * @param slotFree whether a slot is expected to be free
	 * @param warm whether the server served the object for this gateway within the period
	 * for which objects are assumed to stay warm
	 * @param expectedWarmMillis the expected response time if the object is warm on the
	 * server
	 * @param usualMillis the response time that is usual for a server that is not slow,
	 * with the same queue
	 * @param cautiousMillis the response time if the object is warm only where this
	 * gateway knows it, and the server is as slow as recently
	 * @param reason why the server's region was chosen
	 */
	public record Choice(ServerState server, double expectedMillis, boolean slotFree, boolean warm,
			double expectedWarmMillis, double usualMillis, double cautiousMillis, Reason reason) {

		/**
		 * Returns the expected response time that decides about the admission of the
		 * request. Where servers are congested, objects are assumed to be warm, unless
		 * the request may be served in certain regions only: such requests cannot be
		 * relieved by other regions, and if they were admitted in the hope of warm
		 * objects, all would time out before any object is warm.
		 * @param congested whether the servers of the region are congested
		 * @param bound whether only certain regions may serve the request
		 * @return the time in milliseconds
		 */
		public double admissionMillis(boolean congested, boolean bound) {
			if (!congested) {
				return this.expectedMillis;
			}
			return bound ? this.cautiousMillis : this.expectedWarmMillis;
		}

		/**
		 * Records the response to the request.
		 * @param millis the response time
		 * @param now the current time in nanoseconds
		 */
		public void recordResponseTime(double millis, long now) {
			this.server.slowness().recordResponse(millis, this.usualMillis, now);
		}

		/**
		 * Records that the request had no response in time.
		 * @param sentAt the time at which the request was sent, in nanoseconds
		 * @param now the current time in nanoseconds
		 */
		public void recordTimeout(long sentAt, long now) {
			this.server.recordTimeout(sentAt, now);
			this.server.slowness()
				.recordTimeout((now - sentAt) / (double) TimeUnit.MILLISECONDS.toNanos(1), this.usualMillis, now);
		}

		/**
		 * Returns this choice with another reason.
		 * @param other why the server's region was chosen
		 * @return the choice with that reason
		 */
		public Choice withReason(Reason other) {
			return new Choice(this.server, this.expectedMillis, this.slotFree, this.warm, this.expectedWarmMillis,
					this.usualMillis, this.cautiousMillis, other);
		}

	}

	/**
	 * Why a region was chosen.
	 */
	public enum Reason {

		/**
		 * The object is assigned to the gateway's region.
		 */
		OWN,

		/**
		 * The object is assigned to another region.
		 */
		ASSIGNED,

		/**
		 * The request may be served in certain regions only.
		 */
		BOUND,

		/**
		 * The region that the object is assigned to is overloaded.
		 */
		OVERFLOW,

		/**
		 * No server of the region that the object is assigned to may receive the request.
		 */
		NO_CANDIDATE

	}

}
