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
	 * The slowness of an object's server above which other servers receive the object
	 * although the region is congested.
	 */
	private static final double SPREADING_SLOWNESS = 4;

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

	private final ColdBounds coldBounds;

	private final ExpectedTimes expectedTimes;

	private final Map<String, ServiceServers> services = new HashMap<>();

	private final Map<String, RegionSplitController> splitControllers = new HashMap<>();

	private final Map<String, RouteRegionSplit> routeSplits = new HashMap<>();

	private final Map<String, ObjectAssignment> assignments = new HashMap<>();

	private final Map<String, CongestionDetector> congestionDetectors = new HashMap<>();

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
		this.coldBounds = new ColdBounds(region, coldOvershoot, coldSlack);
		this.expectedTimes = new ExpectedTimes(region);
	}

	/**
	 * Sets the bounds on the request rate of cold servers.
	 * @param overshoot the factor by which a cold server's rate may be exceeded
	 * @param slack the requests per second that a cold server may receive in addition
	 */
	public void setColdBounds(double overshoot, double slack) {
		this.coldBounds.set(overshoot, slack);
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
		return isInService(server, now) && !server.isCold(now)
				&& this.coldBounds.isNear(server, coldRequestsPerSecond, gatewaysInRegion, now);
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
	public Optional<PlacementChoice> choose(PlacementRequest request, long now) {
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
		PlacementReason reason = assignmentReason(request, assignedRegion);
		Optional<PlacementChoice> healthyChoice = chooseFastest(request, servers.healthy(assignedRegion), now);
		Optional<PlacementChoice> best = healthyChoice
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
			Optional<PlacementChoice> alternative = chooseFastest(request, otherServers, now);
			if (alternative.isPresent() && (healthyChoice.isEmpty()
					|| alternative.get().expectedMillis() < healthyChoice.get().expectedMillis())) {
				this.overflowTokens = Math.max(0, this.overflowTokens - 1);
				PlacementReason overflowReason = best.isEmpty() ? PlacementReason.NO_CANDIDATE
						: PlacementReason.OVERFLOW;
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
	public OptionalLong pauseMillis(PlacementRequest request, long now) {
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
		return this.expectedTimes.of(route);
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

	private PlacementReason assignmentReason(PlacementRequest request, String assignedRegion) {
		if (!request.allowedRegions().isEmpty()) {
			return PlacementReason.BOUND;
		}
		return assignedRegion.equals(this.region) ? PlacementReason.OWN : PlacementReason.ASSIGNED;
	}

	private boolean isInService(ServerState server, long now) {
		return !server.isLeaving(now) && server.pauseMillis(now) == 0 && (this.evacuatedDataCentres.isEmpty()
				|| !this.evacuatedDataCentres.contains(server.entry().dataCentre()));
	}

	private static boolean isAllowed(PlacementRequest request, ServerState server) {
		return (request.excluded().isEmpty() || !request.excluded().contains(server.entry().id()))
				&& (request.allowedRegions().isEmpty() || request.allowedRegions().contains(server.region()));
	}

	private ServiceServers servers(String service) {
		return this.services.getOrDefault(service, NO_SERVERS);
	}

	private RegionSplitController splitController(String service) {
		return this.splitControllers.computeIfAbsent(service, (name) -> new RegionSplitController(this.region));
	}

	private Optional<PlacementChoice> chooseFastest(PlacementRequest request, List<ServerState> servers, long now) {
		boolean outdated = this.outdatedServices.contains(request.service());
		Predicate<ServerState> usable = (each) -> !each.isCold(now)
				&& (!outdated || this.coldBounds.hasPossiblyColdCapacity(each, request, now));
		List<ServerState> candidates = servers.stream().filter(usable).toList();
		if (candidates.isEmpty()) {
			candidates = servers.stream()
				.filter((each) -> each.isCold(now) && this.coldBounds.hasColdCapacity(each, request, now))
				.toList();
		}
		List<ServerState> ranked = withAssignedFirst(request, ranked(request, candidates), now);
		List<PlacementChoice> choices = new ArrayList<>();
		boolean congested = !ranked.isEmpty() && isCongested(request.service(), ranked.get(0).region());
		boolean spread = !congested || ranked.get(0).slowness().factor(now) > SPREADING_SLOWNESS;
		// Where no server has free slots, another one would only hold the object as well.
		ranked.stream()
			.limit(spread ? CANDIDATES_PER_OBJECT : 1)
			.forEach((server) -> choices.add(this.expectedTimes.choice(request, server, choices.size(), now)));
		return choices.stream().min(Comparator.comparingDouble(PlacementChoice::expectedMillis));
	}

	private static List<ServerState> excludeCold(List<ServerState> servers, long now) {
		return servers.stream().filter((each) -> !each.isCold(now)).toList();
	}

	private List<ServerState> withAssignedFirst(PlacementRequest request, List<ServerState> ranked, long now) {
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

	private static ServerState highestRanked(PlacementRequest request, List<ServerState> servers) {
		return Collections.max(servers, Comparator.comparingDouble((server) -> score(request, server)));
	}

	private static double score(PlacementRequest request, ServerState server) {
		return Rendezvous.score(request.object(), server.hash(), Math.max(1, server.entry().slots()));
	}

	private static List<ServerState> ranked(PlacementRequest request, Collection<ServerState> servers) {
		List<Ranked> ranked = new ArrayList<>(servers.size());
		servers.forEach((server) -> ranked.add(new Ranked(score(request, server), server)));
		ranked.sort(BY_SCORE_DESCENDING);
		return ranked.stream().map(Ranked::server).toList();
	}

	private record Ranked(double score, ServerState server) {
	}

}
