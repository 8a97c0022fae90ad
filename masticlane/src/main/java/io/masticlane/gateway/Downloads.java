package io.masticlane.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import io.masticlane.admission.ReturnTimes;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.memory.DownloadMemory;
import io.masticlane.memory.SizeEstimator;
import io.masticlane.plan.OrganisationPlan;
import io.masticlane.plan.PathRoute;
import io.masticlane.plan.RouteKind;
import io.masticlane.plan.TrafficPlan;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Admits downloads by the memory for their responses. Confined to one event loop.
 */
final class Downloads {

	/**
	 * The reason of a refusal for lack of memory.
	 */
	static final String NO_MEMORY = "no_memory";

	/**
	 * The interval of log lines while downloads are refused; each refusal is logged with
	 * its request as well.
	 */
	private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final String ANONYMOUS = "-";

	private final DownloadMemory memory;

	private final ReturnTimes returnTimes;

	private final Map<String, SizeEstimator> sizes = new HashMap<>();

	private boolean active;

	private long reportedForMemory;

	private long reportedForOrganisation;

	private long loggedRefusals;

	private long loggedAt;

	/**
	 * Creates an instance for one gateway.
	 * @param memory the memory of downloads
	 * @param random returns numbers from 0 to 1, which spread the returns
	 * @param now the current time in nanoseconds
	 */
	Downloads(DownloadMemory memory, DoubleSupplier random, long now) {
		this.memory = memory;
		this.returnTimes = new ReturnTimes(random, now);
		this.loggedAt = now - LOG_INTERVAL_NANOS;
	}

	void plan(TrafficPlan plan) {
		this.active |= plan.hasDownloads();
		this.memory.shared(plan.organisations().size() > 1);
	}

	/**
	 * Returns the memory for the response to a request, with nothing reserved yet.
	 * @param route the route of the request
	 * @param organisation the organisation of the caller, if its key names one
	 * @param method the method of the request
	 * @return the memory
	 */
	DownloadBody body(PathRoute route, Optional<OrganisationPlan> organisation, HttpMethod method) {
		boolean reserved = route.kind() == RouteKind.DOWNLOAD && !method.equals(HttpMethod.HEAD);
		return new DownloadBody(
				reserved ? Optional.of(this.sizes.computeIfAbsent(route.name(), (name) -> new SizeEstimator()))
						: Optional.empty(),
				organisation.map(OrganisationPlan::name).orElse(ANONYMOUS));
	}

	/**
	 * Reserves memory for the response to a request that is to be sent.
	 * @param body the memory of the request
	 * @param clock the time left for the request
	 * @param now the current time in nanoseconds
	 * @return the refusal if there is no memory
	 */
	Optional<Refusal> reserve(DownloadBody body, RequestClock clock, long now) {
		if (body.reserve(this.memory)) {
			return Optional.empty();
		}
		this.returnTimes.observe(this.memory.freedBytes(), now);
		return Optional.of(Refusal.of(NO_MEMORY,
				this.returnTimes.retryAfterMillis(body.estimateBytes(), clock.remainingMillis(), now)));
	}

	/**
	 * Updates the metrics, and logs how many downloads were refused.
	 * @param metrics the metrics
	 * @param events the event log
	 * @param now the current time in nanoseconds
	 */
	void report(GatewayMetrics metrics, EventLog events, long now) {
		if (!this.active) {
			return;
		}
		this.returnTimes.observe(this.memory.freedBytes(), now);
		long forMemory = this.memory.refusedForMemory();
		long forOrganisation = this.memory.refusedForOrganisation();
		metrics.downloadMemory(this.memory);
		metrics.downloadsRefused("all", forMemory - this.reportedForMemory);
		metrics.downloadsRefused("organisation", forOrganisation - this.reportedForOrganisation);
		this.reportedForMemory = forMemory;
		this.reportedForOrganisation = forOrganisation;
		long refused = forMemory + forOrganisation;
		if (refused > this.loggedRefusals && now - this.loggedAt >= LOG_INTERVAL_NANOS) {
			events.record(Event.DOWNLOADS_REFUSED, refused - this.loggedRefusals, this.memory.unusedBytes(),
					this.memory.usedBytes(), this.memory.limitBytes(), this.returnTimes.bytesPerSecond());
			this.loggedRefusals = refused;
			this.loggedAt = now;
		}
	}

}
