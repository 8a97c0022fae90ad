package io.masticlane.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.HashedKey;
import io.masticlane.configuration.Link;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;

/**
 * An immutable view of a configuration, indexed for routing requests.
 */
public final class RoutingTable {

	private final long revision;

	private final Configuration configuration;

	private final List<Match> matches;

	private final Map<String, GrantedKey> keys;

	private final Map<String, List<BackendServer>> backendServers;

	private final Map<String, String> regions;

	private final ClientBlockTable clientBlocks;

	private RoutingTable(long revision, Configuration configuration) {
		this.revision = revision;
		this.configuration = configuration;
		this.matches = configuration.services()
			.stream()
			.flatMap((service) -> service.routes().stream().map((route) -> new Match(service, route)))
			.sorted(Comparator.comparing((Match match) -> -match.route().pathPrefix().length()))
			.toList();
		this.keys = configuration.organisations()
			.stream()
			.flatMap((organisation) -> organisation.keys().stream().map((key) -> new GrantedKey(organisation, key)))
			.collect(Collectors.toUnmodifiableMap((granted) -> granted.key().identifier(), Function.identity()));
		this.backendServers = configuration.backendServers()
			.stream()
			.collect(Collectors.groupingBy(BackendServer::service));
		this.regions = configuration.dataCentres()
			.stream()
			.collect(Collectors.toUnmodifiableMap(DataCentre::name, DataCentre::region));
		this.clientBlocks = ClientBlockTable.of(configuration.clientBlocks());
	}

	/**
	 * Creates a new routing table.
	 * @param revision the revision of the configuration
	 * @param configuration the configuration
	 * @return the routing table
	 */
	public static RoutingTable of(long revision, Configuration configuration) {
		return new RoutingTable(revision, configuration);
	}

	/**
	 * Returns the revision of the configuration.
	 * @return the revision of the configuration
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the configuration.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Finds the matching route with the longest path prefix.
	 * @param method the method of the request
	 * @param path the path of the request
	 * @return the route and its service, or empty if no route matches
	 */
	public Optional<Match> match(String method, String path) {
		return this.matches.stream().filter((match) -> match.route().matches(method, path)).findFirst();
	}

	/**
	 * Finds the organisation to which a presented key is granted.
	 * @param presented the presented key, as {@code identifier.secret}
	 * @return the organisation, or empty if the key is not granted
	 */
	public Optional<Organisation> organisation(String presented) {
		int dot = presented.indexOf('.');
		if (dot <= 0) {
			return Optional.empty();
		}
		return Optional.ofNullable(this.keys.get(presented.substring(0, dot)))
			.filter((granted) -> granted.key().accepts(presented.substring(dot + 1)))
			.map(GrantedKey::organisation);
	}

	/**
	 * Returns the backend servers of a service.
	 * @param service the name of the service
	 * @return the backend servers
	 */
	public List<BackendServer> backendServers(String service) {
		return this.backendServers.getOrDefault(service, List.of());
	}

	/**
	 * Returns the region of a data centre.
	 * @param dataCentre the name of the data centre
	 * @return the name of its region, or an empty string if the data centre is unknown
	 */
	public String region(String dataCentre) {
		return this.regions.getOrDefault(dataCentre, "");
	}

	/**
	 * Returns the round-trip time between two regions.
	 * @param from one region
	 * @param to another region
	 * @return the round-trip time in milliseconds, zero within a region, or
	 * {@link Double#MAX_VALUE} if no link joins the regions
	 */
	public double roundTripMillis(String from, String to) {
		if (from.equals(to)) {
			return 0;
		}
		return this.configuration.links()
			.stream()
			.filter((link) -> link.joins(from, to))
			.mapToDouble(Link::roundTripMillis)
			.min()
			.orElse(Double.MAX_VALUE);
	}

	/**
	 * Returns the table that maps client addresses to regions.
	 * @return the table of client blocks
	 */
	public ClientBlockTable clientBlocks() {
		return this.clientBlocks;
	}

	/**
	 * A route and its service.
	 *
	 * @param service the service
	 * @param route the route
	 */
	public record Match(Service service, Route route) {
	}

	private record GrantedKey(Organisation organisation, HashedKey key) {
	}

}
