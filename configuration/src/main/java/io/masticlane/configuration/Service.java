package io.masticlane.configuration;

import java.util.List;

/**
 * A service that backend servers run.
 *
 * @param name the name of the service
 * @param routes the routes of the service; the first one that matches a request applies
 */
public record Service(String name, List<Route> routes) {

	/**
	 * Creates a new service.
	 * @param name the name of the service
	 * @param routes the routes of the service; the first one that matches a request
	 * applies
	 */
	public Service {
		Check.name("services.name", name);
		routes = Check.listOrEmpty(routes);
		if (routes.isEmpty()) {
			throw new ConfigurationException("services.routes", name, "at least one route");
		}
	}

	/**
	 * Creates a new service.
	 * @param name the name of the service
	 * @param routes the routes of the service
	 * @return the service
	 */
	public static Service of(String name, Route... routes) {
		return new Service(name, List.of(routes));
	}

}
