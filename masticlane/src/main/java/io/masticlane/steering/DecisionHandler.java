package io.masticlane.steering;

import io.masticlane.configuration.BackendServer;
import io.masticlane.failure.Refusal;
import io.masticlane.operation.RecordedAnswer;

/**
 * Carries out the decisions on one request.
 */
public interface DecisionHandler {

	/**
	 * Sends the request to a backend server.
	 * @param server the backend server
	 */
	void dispatch(BackendServer server);

	/**
	 * Refuses the request.
	 * @param refusal the refusal
	 */
	void refuse(Refusal refusal);

	/**
	 * Gives the answer to an earlier attempt at the operation again.
	 * @param answer the answer
	 */
	void replay(RecordedAnswer answer);

}
