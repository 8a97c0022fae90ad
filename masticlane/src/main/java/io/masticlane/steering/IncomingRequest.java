package io.masticlane.steering;

import io.masticlane.operation.Operation;
import io.masticlane.route.RoutingTable;

/**
 * A request submitted for decisions.
 *
 * @param organisation the name of the organisation whose key the request carries, or an
 * empty string on an open route
 * @param match the matching route and its service
 * @param operation the operation that the request names, or {@link Operation#NONE}
 * @param deadline the time on the monotonic clock by which the response is due, in
 * nanoseconds
 * @param handler carries out the decisions
 */
public record IncomingRequest(String organisation, RoutingTable.Match match, Operation operation, long deadline,
		DecisionHandler handler) {

	/**
	 * Returns whether the request may run more than once.
	 * @return whether the request may run more than once
	 */
	public boolean isIdempotent() {
		return this.match.route().idempotent();
	}

}
