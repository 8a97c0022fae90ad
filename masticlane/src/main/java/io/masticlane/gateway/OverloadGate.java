package io.masticlane.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ThreadLocalRandom;

import io.masticlane.admission.AdmissionPolicy;
import io.masticlane.admission.Arrival;
import io.masticlane.admission.OverloadControls;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.placement.Placement;
import io.masticlane.placement.PlacementChoice;
import io.masticlane.plan.OrganisationPlan;

/**
 * Rejects requests by the overload of all servers of a service and region, where the plan
 * in force has downloads.
 */
final class OverloadGate {

	private final Placement placement;

	private final AdmissionPolicy admission;

	private final GatewayMetrics metrics;

	private final EventLog events;

	private final OverloadControls controls = new OverloadControls(() -> ThreadLocalRandom.current().nextDouble());

	private boolean enabled;

	OverloadGate(Placement placement, AdmissionPolicy admission, GatewayMetrics metrics, EventLog events) {
		this.placement = placement;
		this.admission = admission;
		this.metrics = metrics;
		this.events = events;
	}

	/**
	 * Enables or disables the gate. A disabled one admits all requests and keeps no
	 * state.
	 * @param enable whether to enable it
	 */
	void enable(boolean enable) {
		this.enabled = enable;
		if (!enable) {
			this.controls.clear();
		}
	}

	/**
	 * Decides about the first attempt of a request.
	 * @param request the request
	 * @param clock the time left for the request
	 * @param chosen the chosen server
	 * @param now the current time in nanoseconds
	 * @return the refusal, or empty if the request is admitted
	 */
	Optional<Refusal> refusal(AdmittedRequest request, RequestClock clock, PlacementChoice chosen, long now) {
		if (!this.enabled) {
			return Optional.empty();
		}
		double objectiveMillis = request.route().objectiveMillis();
		double latestMillis = Math.min(clock.remainingMillis(), objectiveMillis - clock.ageMillis());
		Arrival.Kind kind = new Arrival.Kind(request.priority(), chosen.expectedMillis() > latestMillis,
				request.route().name());
		Arrival arrival = new Arrival(kind, request.organisation().map(OrganisationPlan::name).orElse(""),
				request.route().priority(), this.placement.serviceTimes(request.route()).expectedMillis(chosen.warm()),
				objectiveMillis, chosen.slotFree(), chosen.server().utilization(now));
		String region = chosen.server().region();
		OptionalDouble excessMillis = this.controls.rejection(new OverloadControls.Scope(request.service(), region),
				arrival);
		if (excessMillis.isEmpty()) {
			return Optional.empty();
		}
		this.metrics.overloadRefused(request.service(), region, kind.priority());
		return Optional.of(new Refusal(Refusal.OVERLOAD, chosen.expectedMillis(), latestMillis,
				this.admission.retryAfterMillis(excessMillis.getAsDouble(), clock.remainingMillis())));
	}

	/**
	 * Updates the levels from the load of the servers.
	 * @param now the current time in nanoseconds
	 */
	void update(long now) {
		this.controls.update(this.placement, now).forEach((update) -> {
			this.metrics.overload(update.scope(), update.state());
			if (update.changed()) {
				this.events.record(Event.OVERLOAD_CHANGED, update.scope().service(), update.scope().region(),
						update.state().overloaded() ? "begun" : "ended",
						String.format(Locale.ROOT, "%.2f", update.state().admittedFraction()),
						Math.round(update.state().roomRequests()), Math.round(update.state().demandRequests()));
			}
		});
	}

}
