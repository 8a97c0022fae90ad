package io.masticlane.steering;

import io.masticlane.configuration.BackendServer;
import io.masticlane.failure.Refusal;
import io.masticlane.operation.RecordedResponse;

/**
 * Carries out the decisions made for one request.
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
	 * Replays the response to an earlier attempt at the operation.
	 * @param response the recorded response
	 */
	void replay(RecordedResponse response);

}
