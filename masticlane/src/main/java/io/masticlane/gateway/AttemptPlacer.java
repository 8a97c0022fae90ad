package io.masticlane.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

import io.masticlane.placement.PlacementChoice;

/**
 * Chooses the server of an attempt and decides whether the request is sent to it.
 */
final class AttemptPlacer {

	/**
	 * The remaining time below which no backend server can process a request, in
	 * milliseconds.
	 */
	private static final long MINIMUM_ATTEMPT_MILLIS = 20;

	private final GatewayContext gateway;

	AttemptPlacer(GatewayContext gateway) {
		this.gateway = gateway;
	}

	/**
	 * Chooses a server.
	 * @param request the request
	 * @param clock the time left for the request
	 * @param excluded the identifiers of the servers that already received the request
	 * @param now the current time in nanoseconds
	 * @param refused receives the refusal if the request is not to be sent
	 * @return the choice, or empty if the request is refused
	 */
	Optional<PlacementChoice> place(AdmittedRequest request, RequestClock clock, Set<String> excluded, long now,
			Consumer<Refusal> refused) {
		if (clock.remainingMillis() < MINIMUM_ATTEMPT_MILLIS) {
			refused.accept(Refusal.of("no_time_left"));
			return Optional.empty();
		}
		if (!admitsWhileStopping(request, clock, now)) {
			refused.accept(new Refusal(Refusal.STOPPING, clock.ownRemainingMillis(), clock.remainingMillis(),
					Refusal.OTHER_GATEWAY_RETRY_AFTER_MILLIS));
			return Optional.empty();
		}
		Optional<PlacementChoice> found = this.gateway.placement()
			.choose(request.placement().withExcluded(excluded), now);
		if (found.isEmpty()) {
			OptionalLong pauseMillis = this.gateway.placement().pauseMillis(request.placement(), now);
			refused.accept(Refusal.of(pauseMillis.isPresent() ? "paused" : "no_server",
					Math.max(Refusal.DEFAULT_RETRY_AFTER_MILLIS, pauseMillis.orElse(0))));
			return Optional.empty();
		}
		Optional<Refusal> refusal = refusalForOverload(request, clock, excluded, found.get(), now)
			.or(() -> refusalForLoad(request, clock, found.get()))
			.or(() -> this.gateway.downloads().reserve(request.download(), clock, now));
		refusal.ifPresent(refused);
		return refusal.isPresent() ? Optional.empty() : found;
	}

	private boolean admitsWhileStopping(AdmittedRequest request, RequestClock clock, long now) {
		Optional<StopSchedule> stop = this.gateway.stop();
		return stop.isEmpty() || stop.get()
			.admits(request.begunAt(), now, clock.ownRemainingMillis(),
					this.gateway.placement().serviceTimes(request.route()).expectedMillis(false));
	}

	// A request that was admitted once is not refused because its server failed.
	private Optional<Refusal> refusalForOverload(AdmittedRequest request, RequestClock clock, Set<String> excluded,
			PlacementChoice chosen, long now) {
		Optional<Refusal> refusal = excluded.isEmpty() ? this.gateway.overload().refusal(request, clock, chosen, now)
				: Optional.empty();
		refusal.ifPresent((each) -> this.gateway.regionFlow().recordRefused(chosen.server().region()));
		return refusal;
	}

	private Optional<Refusal> refusalForLoad(AdmittedRequest request, RequestClock clock, PlacementChoice chosen) {
		boolean congested = this.gateway.placement().isCongested(request.service(), chosen.server().region());
		double latestMillis = this.gateway.admission()
			.latestResponseMillis(request.route().objectiveMillis() - clock.ageMillis(), clock.remainingMillis(),
					request.priority(), congested);
		double expectedMillis = chosen.admissionMillis(congested, !request.placement().allowedRegions().isEmpty());
		if (expectedMillis <= latestMillis || chosen.slotFree()) {
			return Optional.empty();
		}
		this.gateway.regionFlow().recordRefused(chosen.server().region());
		return Optional.of(new Refusal(congested ? "crowded" : "load", expectedMillis, latestMillis,
				this.gateway.admission().retryAfterMillis(expectedMillis - latestMillis)));
	}

}
