package io.masticlane.configuration;

/**
 * A route of a service: the requests that it matches and how they are handled.
 *
 * @param method the request method, or * for any
 * @param pathPrefix the prefix of the path
 * @param access whether requests need a key
 * @param idempotent whether a request may be executed more than once
 * @param deadlineMillis the time limit for a response unless the caller requests a
 * shorter one
 */
public record Route(String method, String pathPrefix, Access access, boolean idempotent, int deadlineMillis) {

	/**
	 * The default time limit for a response in milliseconds.
	 */
	public static final int DEFAULT_DEADLINE_MILLIS = 10_000;

	/**
	 * Creates a new route of a service.
	 * @param method the request method, or * for any
	 * @param pathPrefix the prefix of the path
	 * @param access whether requests need a key
	 * @param idempotent whether a request may be executed more than once
	 * @param deadlineMillis the time limit for a response unless the caller requests a
	 * shorter one
	 */
	public Route {
		Check.notNull("routes.method", method);
		if (pathPrefix == null || !pathPrefix.startsWith("/")) {
			throw new ConfigurationException("routes.pathPrefix", pathPrefix, "a path that starts with /");
		}
		Check.notNull("routes.access", access);
		Check.atLeast("routes.deadlineMillis", deadlineMillis, 1);
	}

	/**
	 * Creates a new route for requests that may be executed more than once.
	 * @param method the request method, or * for any
	 * @param pathPrefix the prefix of the path
	 * @return the route
	 */
	public static Route idempotent(String method, String pathPrefix) {
		return new Route(method, pathPrefix, Access.KEYED, true, DEFAULT_DEADLINE_MILLIS);
	}

	/**
	 * Creates a new route for operations that are executed at most once.
	 * @param method the request method, or * for any
	 * @param pathPrefix the prefix of the path
	 * @return the route
	 */
	public static Route atMostOnce(String method, String pathPrefix) {
		return new Route(method, pathPrefix, Access.KEYED, false, DEFAULT_DEADLINE_MILLIS);
	}

	/**
	 * Returns this route with another access.
	 * @param access whether requests need a key
	 * @return the changed route
	 */
	public Route withAccess(Access access) {
		return new Route(this.method, this.pathPrefix, access, this.idempotent, this.deadlineMillis);
	}

	/**
	 * Returns this route with another deadline.
	 * @param deadlineMillis the time limit for a response
	 * @return the changed route
	 */
	public Route withDeadlineMillis(int deadlineMillis) {
		return new Route(this.method, this.pathPrefix, this.access, this.idempotent, deadlineMillis);
	}

	/**
	 * Returns whether a request matches this route.
	 * @param method the method of the request
	 * @param path the path of the request
	 * @return whether the request matches this route
	 */
	public boolean matches(String method, String path) {
		boolean pathMatches = path.equals(this.pathPrefix) || (path.startsWith(this.pathPrefix)
				&& (this.pathPrefix.endsWith("/") || path.charAt(this.pathPrefix.length()) == '/'));
		return pathMatches && (this.method.equals("*") || this.method.equals(method));
	}

	/**
	 * The authentication that a route requires.
	 */
	public enum Access {

		/**
		 * Requests need no key.
		 */
		OPEN,

		/**
		 * Requests need a key that is granted to an organisation.
		 */
		KEYED

	}

}
