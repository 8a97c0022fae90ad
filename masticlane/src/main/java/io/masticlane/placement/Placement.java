package io.masticlane.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.masticlane.plan.PathRoute;

/**
 * Chooses a backend server for a request. The servers of a region are ranked for each
 * object by rendezvous hashing, alike on every gateway; of the first ranks the one is
 * taken that is expected to finish first, so that a second server gets an object only
 * while the queue of the first costs more than an unknown object does.
 */
public final class Placement {

	/**
	 * The ranks that may serve an object.
	 */
	private static final int RANKS = 3;

	/**
	 * How long an object is believed to stay warm.
	 */
	private static final long WARM_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * What each further rank costs besides, as a part of what an unknown object does: a
	 * server keeps few objects, and one that is spread pushes out others.
	 */
	private static final double RANK_COST = 0.5;

	/**
	 * How long after its first sight a server counts as knowing no object.
	 */
	private static final long NEW_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * The round trip to another region, in milliseconds; about twice 35 ms one way.
	 */
	private static final double FAR_MILLIS = 75;

	/**
	 * The part of a cold server's bound that is used, as gateways may be more than known.
	 */
	private static final double COLD_USED = 0.8;

	/**
	 * The largest part of a service's servers that is kept out for failures.
	 */
	private static final double LARGEST_EJECTED_PART = 0.4;

	/**
	 * The part of requests that may leave their objects' region at once when it is full.
	 */
	private static final double OVERFLOW_PER_REQUEST = 0.03;

	private static final double LARGEST_OVERFLOW = 4;

	/**
	 * How long a route without requests keeps its division, in nanoseconds.
	 */
	private static final long FORGOTTEN_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final ServiceServers NO_SERVERS = new ServiceServers();

	private static final Comparator<Ranked> HIGHEST_FIRST = (one, other) -> Double.compare(other.score(), one.score());

	private final String region;

	private double coldOvershoot;

	private double coldSlack;

	private final Map<String, ServiceServers> services = new HashMap<>();

	private final Map<String, RegionSplitController> regionShares = new HashMap<>();

	private final Map<String, RouteRegionSplit> routes = new HashMap<>();

	private final Map<String, ObjectAssignment> assignments = new HashMap<>();

	private final Map<String, CongestionDetector> crowds = new HashMap<>();

	private final Map<String, ServiceTimes> times = new HashMap<>();

	private Set<String> evacuated = Set.of();

	private double overflow = LARGEST_OVERFLOW;

	private long updatedAt;

	/**
	 * Creates a placement without servers.
	 * @param region the region of the gateway
	 * @param coldOvershoot the factor by which a cold server's rate may be exceeded
	 * @param coldSlack the requests in a second that a cold server may receive besides
	 */
	public Placement(String region, double coldOvershoot, double coldSlack) {
		this.region = region;
		this.coldOvershoot = coldOvershoot;
		this.coldSlack = coldSlack;
	}

	/**
	 * Sets the bounds of cold servers.
	 * @param overshoot the factor by which a cold server's rate may be exceeded
	 * @param slack the requests in a second that a cold server may receive besides
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
	 * Replaces the data centres whose servers get nothing.
	 * @param dataCentres the evacuated data centres
	 */
	public void setEvacuatedDataCentres(Set<String> dataCentres) {
		this.evacuated = Set.copyOf(dataCentres);
	}

	/**
	 * Follows the load of the region's servers.
	 * @param others what the other gateways of the region tell of
	 * {@link #localFractions()}
	 * @param now the present in nanoseconds
	 */
	public void update(List<Map<String, Double>> others, long now) {
		this.services.forEach((service, servers) -> {
			Map<String, RegionLoad> loads = servers.loads(this::inService, now);
			loads.forEach(
					(name, each) -> this.crowds.computeIfAbsent(service + "@" + name, (key) -> new CongestionDetector())
						.update(each.utilization()));
			if (!loads.isEmpty()) {
				shares(service).update(loads,
						others.stream()
							.filter((each) -> each.containsKey(service))
							.map((each) -> each.get(service))
							.toList(),
						now);
			}
		});
		double seconds = (now - this.updatedAt) / (double) TimeUnit.SECONDS.toNanos(1);
		this.updatedAt = now;
		this.routes.values().removeIf((route) -> now - route.lastUsedAt() > FORGOTTEN_NANOS);
		this.routes.values().forEach((route) -> route.update(seconds));
	}

	/**
	 * Chooses a server.
	 * @param request what is asked for
	 * @param now the present in nanoseconds
	 * @return the choice, or nothing if no server may be used
	 */
	public Optional<Choice> choose(Request request, long now) {
		this.overflow = Math.min(LARGEST_OVERFLOW, this.overflow + OVERFLOW_PER_REQUEST);
		UsableServers servers = servers(request.service()).usableServers(
				(server) -> inService(server) && allows(request, server), (server) -> !server.isEjected(now),
				1 - LARGEST_EJECTED_PART);
		if (servers.isEmpty()) {
			return Optional.empty();
		}
		String home = this.routes.computeIfAbsent(request.route().name(), (route) -> new RouteRegionSplit())
			.splitFor(shares(request.service()), now)
			.regionOf(request.object(), request.draw(), servers.regions());
		Reason reason = home.equals(this.region) ? Reason.OWN : Reason.ASSIGNED;
		Optional<Choice> sound = best(request, servers.healthy(home), now);
		Optional<Choice> best = sound.or(() -> best(request, warm(servers.all(home), now), now))
			.map((each) -> each.withReason(reason));
		boolean full = sound.isEmpty() || sound.get().expectedMillis() > request.objectiveMillis();
		if (full && (best.isEmpty() || this.overflow >= 1)) {
			List<ServerState> elsewhere = servers.regions()
				.stream()
				.filter((name) -> !name.equals(home) && !servers.healthy(name).isEmpty())
				.map((name) -> first(request, servers.healthy(name)))
				.toList();
			Optional<Choice> other = best(request, elsewhere, now);
			if (other.isPresent() && (sound.isEmpty() || other.get().expectedMillis() < sound.get().expectedMillis())) {
				this.overflow = Math.max(0, this.overflow - 1);
				Reason left = best.isEmpty() ? Reason.NO_CANDIDATE : Reason.OVERFLOW;
				return other.map((each) -> each.withReason(left));
			}
		}
		return best;
	}

	/**
	 * Returns the measured times of a route.
	 * @param route the route
	 * @return its times
	 */
	public ServiceTimes serviceTimes(PathRoute route) {
		return this.times.computeIfAbsent(route.name(), (name) -> new ServiceTimes(route.objectiveMillis()));
	}

	/**
	 * Returns whether the servers of a service in a region have hardly a free slot.
	 * @param service the name of the service
	 * @param name the name of the region
	 * @return whether the servers are crowded
	 */
	public boolean isCongested(String service, String name) {
		CongestionDetector crowd = this.crowds.get(service + "@" + name);
		return crowd != null && crowd.isCongested();
	}

	/**
	 * Returns the part of each service's objects that the gateway's region serves itself,
	 * once there was traffic.
	 * @return the shares by service
	 */
	public Map<String, Double> localFractions() {
		return this.regionShares.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isInitialized())
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().localFraction()));
	}

	private boolean inService(ServerState server) {
		return !server.entry().leaving()
				&& (this.evacuated.isEmpty() || !this.evacuated.contains(server.entry().dataCentre()));
	}

	private static boolean allows(Request request, ServerState server) {
		return (request.excluded().isEmpty() || !request.excluded().contains(server.entry().id()))
				&& (request.allowedRegions().isEmpty() || request.allowedRegions().contains(server.region()));
	}

	private ServiceServers servers(String service) {
		return this.services.getOrDefault(service, NO_SERVERS);
	}

	private RegionSplitController shares(String service) {
		return this.regionShares.computeIfAbsent(service, (name) -> new RegionSplitController(this.region));
	}

	private Optional<Choice> best(Request request, List<ServerState> servers, long now) {
		Predicate<ServerState> cold = (each) -> each.isCold(now);
		boolean allCold = servers.stream().allMatch(cold);
		List<ServerState> candidates = servers.stream()
			.filter((each) -> allCold ? bearsCold(each, request, now) : !each.isCold(now))
			.toList();
		List<ServerState> ranked = assigned(request, ranked(request, candidates), now);
		List<Choice> choices = new ArrayList<>();
		ranked.stream()
			.limit(RANKS)
			.forEach((server) -> choices.add(new Choice(server, expected(request, server, choices.size(), now),
					server.load(now) < server.entry().slots(), server.hasServed(request.object(), WARM_NANOS, now),
					queued(request, server, now) + serviceTimes(request.route()).expectedMillis(true), Reason.OWN)));
		return choices.stream().min(Comparator.comparingDouble(Choice::expectedMillis));
	}

	private static List<ServerState> warm(List<ServerState> servers, long now) {
		return servers.stream().filter((each) -> !each.isCold(now)).toList();
	}

	private List<ServerState> assigned(Request request, List<ServerState> ranked, long now) {
		boolean own = !ranked.isEmpty() && ranked.get(0).region().equals(this.region);
		if (!own || !request.route().sticky() || !request.excluded().isEmpty()) {
			return ranked;
		}
		int place = this.assignments.computeIfAbsent(request.service(), (service) -> new ObjectAssignment())
			.assign(request.object(), ranked, now);
		List<ServerState> reordered = new ArrayList<>(ranked);
		reordered.add(0, reordered.remove(place));
		return reordered;
	}

	private static ServerState first(Request request, List<ServerState> servers) {
		return Collections.max(servers, Comparator.comparingDouble((server) -> score(request, server)));
	}

	private static double score(Request request, ServerState server) {
		return Rendezvous.score(request.object(), server.hash(), Math.max(1, server.entry().slots()));
	}

	private static List<ServerState> ranked(Request request, Collection<ServerState> servers) {
		List<Ranked> ranked = new ArrayList<>(servers.size());
		servers.forEach((server) -> ranked.add(new Ranked(score(request, server), server)));
		ranked.sort(HIGHEST_FIRST);
		return ranked.stream().map(Ranked::server).toList();
	}

	private double queued(Request request, ServerState server, long now) {
		int slots = Math.max(1, server.entry().slots());
		double queued = Math.max(0, server.load(now) + 1 - slots);
		return queued * serviceTimes(request.route()).expectedMillis(true) / slots;
	}

	private double expected(Request request, ServerState server, int rank, long now) {
		ServiceTimes measured = serviceTimes(request.route());
		boolean warm = server.hasServed(request.object(), WARM_NANOS, now)
				|| rank == 0 && server.nanosSinceDiscovery(now) > NEW_NANOS;
		double wait = queued(request, server, now);
		double spread = request.route().sticky()
				? rank * RANK_COST * (measured.expectedMillis(false) - measured.expectedMillis(true)) : 0;
		return wait + spread + measured.expectedMillis(warm || !request.route().sticky())
				+ (server.region().equals(this.region) ? 0 : FAR_MILLIS);
	}

	private boolean bearsCold(ServerState server, Request request, long now) {
		if (!server.region().equals(this.region)) {
			return false;
		}
		double bound = request.coldRequestsPerSecond() * this.coldOvershoot + this.coldSlack;
		return server.coldRequestsInLastSecond(now) < Math.floor(bound * COLD_USED / request.gatewaysOfRegion());
	}

	private record Ranked(double score, ServerState server) {
	}

	/**
	 * What a server is chosen for.
	 *
	 * @param route the route
	 * @param service the service, one of the route's
	 * @param object the hash of the object, or of the request if it names none
	 * @param draw a hash that differs for each request
	 * @param allowedRegions the regions that may serve the request, or none for all
	 * @param excluded the servers that had the request already
	 * @param objectiveMillis the time within which an answer is worth most
	 * @param coldRequestsPerSecond the rate that a cold server of the service bears
	 * @param gatewaysOfRegion the gateways in the region, which share that rate
	 */
	public record Request(PathRoute route, String service, long object, long draw, Set<String> allowedRegions,
			Set<String> excluded, double objectiveMillis, double coldRequestsPerSecond, int gatewaysOfRegion) {

		public Request {
			allowedRegions = Set.copyOf(allowedRegions);
			excluded = Set.copyOf(excluded);
		}

		/**
		 * Returns the request for another attempt.
		 * @param tried the servers that had the request already
		 * @return the request without those servers
		 */
		public Request withExcluded(Set<String> tried) {
			return new Request(this.route, this.service, this.object, this.draw, this.allowedRegions, tried,
					this.objectiveMillis, this.coldRequestsPerSecond, this.gatewaysOfRegion);
		}

	}

	/**
	 * A chosen server.
	 *
	 * @param server the server
	 * @param expectedMillis the expected time to the answer in milliseconds
	 * @param slotFree whether a slot is expected to be free
	 * @param warm whether this gateway saw the server serve the object lately
	 * @param expectedWarmMillis the expected time to the answer if the server knows the
	 * object
	 * @param reason why the server's region was chosen
	 */
	public record Choice(ServerState server, double expectedMillis, boolean slotFree, boolean warm,
			double expectedWarmMillis, Reason reason) {

		/**
		 * Returns the choice with another reason.
		 * @param other why the server's region was chosen
		 * @return the choice with that reason
		 */
		public Choice withReason(Reason other) {
			return new Choice(this.server, this.expectedMillis, this.slotFree, this.warm, this.expectedWarmMillis,
					other);
		}

	}

	/**
	 * Why a region was chosen.
	 */
	public enum Reason {

		/**
		 * The gateway's own region serves the object.
		 */
		OWN,

		/**
		 * Another region serves the object.
		 */
		ASSIGNED,

		/**
		 * The region that serves the object is full.
		 */
		OVERFLOW,

		/**
		 * No server of the region that serves the object may get the request.
		 */
		NO_CANDIDATE

	}

}
