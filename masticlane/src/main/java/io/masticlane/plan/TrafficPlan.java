package io.masticlane.plan;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' plan, immutable.
 */
public final class TrafficPlan {

	/**
	 * The version before any plan was heard.
	 */
	public static final long NO_VERSION = -1;

	private final long version;

	private final Map<String, List<PathRoute>> routes;

	private final Map<String, OrganisationPlan> organisations;

	private final Map<String, OrganisationPlan> organisationsByKey;

	private final Map<String, ServicePlan> services;

	private final CallerLimits limits;

	/**
	 * Creates a plan.
	 * @param version the version, which increases with every plan
	 * @param routes the routes of each virtual host
	 * @param organisations the organisations
	 * @param services the services
	 * @param limits the limits of callers
	 */
	public TrafficPlan(long version, Map<String, List<PathRoute>> routes, List<OrganisationPlan> organisations,
			List<ServicePlan> services, CallerLimits limits) {
		this.version = version;
		Comparator<PathRoute> longestFirst = Comparator.comparingInt((route) -> -route.prefix().length());
		Map<String, List<PathRoute>> sorted = new HashMap<>();
		routes.forEach((host, paths) -> sorted.put(host.toLowerCase(Locale.ROOT),
				paths.stream().sorted(longestFirst).toList()));
		this.routes = Map.copyOf(sorted);
		Map<String, OrganisationPlan> named = new HashMap<>();
		Map<String, OrganisationPlan> keyed = new HashMap<>();
		organisations.forEach((organisation) -> {
			named.put(organisation.name(), organisation);
			organisation.keys().forEach((key) -> keyed.put(key, organisation));
		});
		this.organisations = Map.copyOf(named);
		this.organisationsByKey = Map.copyOf(keyed);
		Map<String, ServicePlan> byName = new HashMap<>();
		services.forEach((service) -> byName.put(service.name(), service));
		this.services = Map.copyOf(byName);
		this.limits = limits;
	}

	/**
	 * Returns a plan that serves nothing.
	 * @return a plan that serves nothing
	 */
	public static TrafficPlan empty() {
		return new TrafficPlan(NO_VERSION, Map.of(), List.of(), List.of(), CallerLimits.DEFAULT);
	}

	/**
	 * Returns the route with the longest prefix of a path.
	 * @param host the virtual host, with or without a port
	 * @param path the path without its query
	 * @return the route, if there is one
	 */
	public Optional<PathRoute> route(String host, String path) {
		int colon = host.indexOf(':');
		String name = ((colon >= 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		return this.routes.getOrDefault(name, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

	/**
	 * Returns whether requests need a key unless their route is open.
	 * @return whether the plan names organisations
	 */
	public boolean requiresKeys() {
		return !this.organisations.isEmpty();
	}

	/**
	 * Returns the organisation that holds a key.
	 * @param key the key
	 * @return the organisation, if one holds the key
	 */
	public Optional<OrganisationPlan> organisationByKey(String key) {
		return Optional.ofNullable(this.organisationsByKey.get(key));
	}

	/**
	 * Returns the organisations by name.
	 * @return the organisations by name
	 */
	public Map<String, OrganisationPlan> organisations() {
		return this.organisations;
	}

	/**
	 * Returns a service.
	 * @param name the name of the service
	 * @return the service, if the plan has it
	 */
	public Optional<ServicePlan> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits of callers.
	 * @return the limits of callers
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
