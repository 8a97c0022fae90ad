package io.masticlane.gateway;

import java.util.Optional;

import io.masticlane.placement.PlacementRequest;
import io.masticlane.plan.Entitlement;
import io.masticlane.plan.OrganisationPlan;
import io.masticlane.plan.PathRoute;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * A request whose route, key and rate allow it.
 *
 * @param message the request as read from the caller
 * @param path the target in origin form
 * @param headers the values in its headers
 * @param route its route
 * @param organisation the organisation of the caller, if its key names one
 * @param placement what a server is chosen by
 * @param download the memory for its response
 * @param begunAt the time at which the first byte of the request was read, in nanoseconds
 */
record AdmittedRequest(FullHttpRequest message, String path, Dialect.CallerRequest headers, PathRoute route,
		Optional<OrganisationPlan> organisation, PlacementRequest placement, DownloadBody download, long begunAt) {

	String service() {
		return this.placement.service();
	}

	/**
	 * Returns the priority of the request, zero being the highest.
	 * @return the priority
	 */
	int priority() {
		return new Entitlement(this.route, this.organisation).priority();
	}

	/**
	 * Returns whether responses name the request. One without an identifier has a
	 * connection of its own, on which any response is its own.
	 * @return whether the request has an identifier
	 */
	boolean isIdentified() {
		return !this.headers.id().isEmpty();
	}

}
