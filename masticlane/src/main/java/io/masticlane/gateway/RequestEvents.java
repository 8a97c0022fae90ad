package io.masticlane.gateway;

import io.masticlane.client.ConnectionUse;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.placement.PlacementChoice;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.OrganisationPlan;

/**
 * Logs the decisions on one request together with their inputs.
 */
final class RequestEvents {

	private final EventLog log;

	private final String id;

	private final long planVersion;

	private final RequestClock clock;

	private String route = "-";

	RequestEvents(EventLog log, String id, long planVersion, RequestClock clock) {
		this.log = log;
		this.id = id;
		this.planVersion = planVersion;
		this.clock = clock;
	}

	void route(String name) {
		this.route = name;
	}

	void served(int status, int attempts, PlacementChoice choice, ConnectionUse use) {
		this.log.record(Event.REQUEST_SERVED, this.id, status, this.route, choice.server().entry().id(), attempts,
				this.clock.ageMillis(), Math.round(choice.expectedMillis()), choice.warm(), use.connection(),
				use.calls(), use.repeated(), this.planVersion);
	}

	void refused(Refusal refusal, int status, String organisation) {
		this.log.record(Event.REQUEST_REFUSED, this.id, refusal.reason(), status, this.route, organisation,
				this.clock.ageMillis(), Math.round(refusal.expectedMillis()), Math.round(refusal.latestMillis()),
				Math.round(refusal.retryAfterMillis()), this.planVersion);
	}

	void rateExceeded(OrganisationPlan organisation, GatewayContext gateway, double retryAfterMillis) {
		this.log.record(Event.RATE_EXCEEDED, this.id, organisation.name(), this.route, organisation.ratePerSecond(),
				gateway.shares().describe(organisation.name()), gateway.reportingGateways(), gateway.gateways(),
				Math.round(retryAfterMillis), this.planVersion);
	}

	void failed(String reason, int status, String server, int attempts, ConnectionUse use) {
		this.log.record(Event.REQUEST_FAILED, this.id, reason, status, this.route, server, attempts,
				this.clock.ageMillis(), use.connection(), use.calls(), use.repeated(), this.planVersion);
	}

	void abandoned(CallerHandler.Disconnection reason, String server, boolean cancelled) {
		this.log.record(Event.REQUEST_ABANDONED, this.id, reason, this.route, server, cancelled,
				this.clock.ageMillis());
	}

	void responseCut(CallerHandler.Disconnection reason) {
		this.log.record(Event.RESPONSE_CUT, this.id, reason, this.route, this.clock.ageMillis());
	}

	void responseUnconfirmed(CallerHandler.Disconnection reason) {
		this.log.record(Event.RESPONSE_UNCONFIRMED, this.id, reason, this.route, this.clock.ageMillis());
	}

	void attemptFailed(ServerState server, int attempts, String failure, ConnectionUse use, String detail) {
		this.log.record(Event.ATTEMPT_FAILED, this.id, server.entry().id(), attempts, failure, this.clock.ageMillis(),
				use.connection(), use.calls(), use.repeated(), detail);
	}

	void ejected(ServerState server, String reason) {
		this.log.record(Event.SERVER_EJECTED, server.entry().id(), server.entry().service(), reason);
	}

}
