package io.masticlane.steering;

import io.masticlane.operation.Operation;
import io.masticlane.route.RoutingTable;

/**
 * A request that waits for decisions.
 *
 * @param organisation the organisation whose key came with the request, or an empty text
 * on an open route
 * @param match the route of the request and its service
 * @param operation the operation that the request names, or none
 * @param deadline the time on the monotonic clock by which the answer is due, in
 * nanoseconds
 * @param handler the executor of the decisions
 */
public record IncomingRequest(String organisation, RoutingTable.Match match, Operation operation, long deadline,
		DecisionHandler handler) {

	/**
	 * Tells whether the request may run more than once.
	 * @return whether the request may run more than once
	 */
	public boolean isIdempotent() {
		return this.match.route().idempotent();
	}

}
