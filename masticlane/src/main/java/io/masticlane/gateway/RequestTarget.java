package io.masticlane.gateway;

import java.net.URI;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

/**
 * The virtual host and the target of a request, in origin form.
 *
 * @param host the virtual host, with or without a port
 * @param target the path and query, unchanged
 */
record RequestTarget(String host, String target) {

	/**
	 * Parses the target of a request in origin or absolute form.
	 * @param request the request
	 * @return the target, or empty unless the request has exactly one host
	 */
	static Optional<RequestTarget> parse(HttpRequest request) {
		List<String> hosts = request.headers().getAll(HttpHeaderNames.HOST);
		if (hosts.size() != 1) {
			return Optional.empty();
		}
		if (request.uri().startsWith("/")) {
			return Optional.of(new RequestTarget(hosts.get(0), request.uri()));
		}
		try {
			URI absolute = URI.create(request.uri());
			String query = (absolute.getRawQuery() != null) ? "?" + absolute.getRawQuery() : "";
			boolean complete = absolute.getRawAuthority() != null && absolute.getRawPath().startsWith("/");
			return complete ? Optional.of(new RequestTarget(absolute.getRawAuthority(), absolute.getRawPath() + query))
					: Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns the path without its query.
	 * @return the path
	 */
	String path() {
		int query = this.target.indexOf('?');
		return (query >= 0) ? this.target.substring(0, query) : this.target;
	}

}
