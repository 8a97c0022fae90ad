package io.masticlane.plan;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * An immutable version of the traffic plan of the operators.
 */
public final class TrafficPlan {

	/**
	 * The version of the empty plan, before any plan was received.
	 */
	public static final long NO_VERSION = -1;

	private final long version;

	private final Map<String, List<PathRoute>> routes;

	private final Map<String, OrganisationPlan> organisations;

	private final Map<String, OrganisationPlan> organisationsByKey;

	private final Map<String, ServicePlan> services;

	private final CallerLimits limits;

	private final boolean downloads;

	/**
	 * Creates a plan.
	 * @param version the version, which increases with each update of the plan
	 * @param routes the routes of each virtual host
	 * @param organisations the organisations
	 * @param services the services
	 * @param limits the limits for callers
	 */
	public TrafficPlan(long version, Map<String, List<PathRoute>> routes, List<OrganisationPlan> organisations,
			List<ServicePlan> services, CallerLimits limits) {
		this.version = version;
		Comparator<PathRoute> longestFirst = Comparator.comparingInt((route) -> -route.prefix().length());
		Map<String, List<PathRoute>> sortedRoutes = new HashMap<>();
		routes.forEach((host, paths) -> sortedRoutes.put(host.toLowerCase(Locale.ROOT),
				paths.stream().sorted(longestFirst).toList()));
		this.routes = Map.copyOf(sortedRoutes);
		Map<String, OrganisationPlan> byName = new HashMap<>();
		Map<String, OrganisationPlan> byKey = new HashMap<>();
		organisations.forEach((organisation) -> {
			byName.put(organisation.name(), organisation);
			organisation.keys().forEach((key) -> byKey.put(key, organisation));
		});
		this.organisations = Map.copyOf(byName);
		this.organisationsByKey = Map.copyOf(byKey);
		Map<String, ServicePlan> servicesByName = new HashMap<>();
		services.forEach((service) -> servicesByName.put(service.name(), service));
		this.services = Map.copyOf(servicesByName);
		this.limits = limits;
		this.downloads = this.routes.values()
			.stream()
			.flatMap(List::stream)
			.anyMatch((route) -> route.kind() == RouteKind.DOWNLOAD);
	}

	/**
	 * Returns a plan without routes.
	 * @return a plan without routes
	 */
	public static TrafficPlan empty() {
		return new TrafficPlan(NO_VERSION, Map.of(), List.of(), List.of(), CallerLimits.DEFAULT);
	}

	/**
	 * Returns the route with the longest prefix that matches a path.
	 * @param host the virtual host, with or without a port
	 * @param path the path without its query
	 * @return the route, or empty if none matches
	 */
	public Optional<PathRoute> route(String host, String path) {
		int portSeparator = host.indexOf(':');
		String name = ((portSeparator >= 0) ? host.substring(0, portSeparator) : host).toLowerCase(Locale.ROOT);
		return this.routes.getOrDefault(name, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

	/**
	 * Returns whether any route is for downloads, whose large responses share links and
	 * memory with the other requests.
	 * @return whether any route is for downloads
	 */
	public boolean hasDownloads() {
		return this.downloads;
	}

	/**
	 * Returns whether requests require an API key unless their route is open.
	 * @return whether the plan names organisations
	 */
	public boolean requiresKeys() {
		return !this.organisations.isEmpty();
	}

	/**
	 * Returns the organisation with an API key.
	 * @param key the API key
	 * @return the organisation, or empty if the key is unknown
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
	 * Returns the services by name.
	 * @return the services by name
	 */
	public Map<String, ServicePlan> services() {
		return this.services;
	}

	/**
	 * Returns a service.
	 * @param name the name of the service
	 * @return the service, or empty if the plan does not contain it
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
	 * Returns the limits for callers.
	 * @return the limits for callers
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
