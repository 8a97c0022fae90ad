package io.masticlane.configuration;

/**
 * A route of a service: a path prefix and how its requests are treated.
 *
 * @param method the request method, or * for any
 * @param pathPrefix the prefix of the path
 * @param access whose requests are carried
 * @param idempotent whether a request may run more than once
 * @param deadlineMillis the time allowed for an answer unless the caller states less
 */
public record Route(String method, String pathPrefix, Access access, boolean idempotent, int deadlineMillis) {

	/**
	 * The time allowed for an answer unless stated otherwise, in milliseconds.
	 */
	public static final int DEFAULT_DEADLINE_MILLIS = 10_000;

	/**
	 * Creates a new route of a service.
	 * @param method the request method, or * for any
	 * @param pathPrefix the prefix of the path
	 * @param access whose requests are carried
	 * @param idempotent whether a request may run more than once
	 * @param deadlineMillis the time allowed for an answer unless the caller states less
	 */
	public Route {
		Check.present("routes.method", method);
		if (pathPrefix == null || !pathPrefix.startsWith("/")) {
			throw new ConfigurationException("routes.pathPrefix", pathPrefix, "a path that starts with /");
		}
		Check.present("routes.access", access);
		Check.atLeast("routes.deadlineMillis", deadlineMillis, 1);
	}

	/**
	 * Creates a new route for requests that may run more than once.
	 * @param method the request method, or * for any
	 * @param pathPrefix the prefix of the path
	 * @return the route
	 */
	public static Route idempotent(String method, String pathPrefix) {
		return new Route(method, pathPrefix, Access.KEYED, true, DEFAULT_DEADLINE_MILLIS);
	}

	/**
	 * Creates a new route for operations that run at most once.
	 * @param method the request method, or * for any
	 * @param pathPrefix the prefix of the path
	 * @return the route
	 */
	public static Route atMostOnce(String method, String pathPrefix) {
		return new Route(method, pathPrefix, Access.KEYED, false, DEFAULT_DEADLINE_MILLIS);
	}

	/**
	 * Returns this route with another access.
	 * @param access whose requests are carried
	 * @return the changed route
	 */
	public Route withAccess(Access access) {
		return new Route(this.method, this.pathPrefix, access, this.idempotent, this.deadlineMillis);
	}

	/**
	 * Returns this route with another deadline.
	 * @param deadlineMillis the time allowed for an answer
	 * @return the changed route
	 */
	public Route withDeadlineMillis(int deadlineMillis) {
		return new Route(this.method, this.pathPrefix, this.access, this.idempotent, deadlineMillis);
	}

	/**
	 * Tells whether a request takes this route.
	 * @param method the method of the request
	 * @param path the path of the request
	 * @return whether the request takes this route
	 */
	public boolean matches(String method, String path) {
		boolean inside = path.equals(this.pathPrefix) || (path.startsWith(this.pathPrefix)
				&& (this.pathPrefix.endsWith("/") || path.charAt(this.pathPrefix.length()) == '/'));
		return inside && (this.method.equals("*") || this.method.equals(method));
	}

	/**
	 * The access to a route.
	 */
	public enum Access {

		/**
		 * Requests need no key.
		 */
		OPEN,

		/**
		 * Requests need a granted key.
		 */
		KEYED

	}

}
