package io.masticlane.gateway;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.masticlane.admission.OverloadControls;
import io.masticlane.admission.OverloadState;
import io.masticlane.fleet.HostCapacity;
import io.masticlane.memory.DownloadMemory;
import io.masticlane.operator.MetricsText;
import io.masticlane.placement.MachineSpeed;
import io.masticlane.placement.PlacementChoice;
import io.masticlane.placement.ServerLoad;
import io.masticlane.placement.ServerState;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The Prometheus metrics of a gateway.
 */
final class GatewayMetrics {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("masticlane_gateway_requests_total")
		.help("Requests by route and outcome.")
		.labelNames("route", "outcome")
		.register(this.registry);

	private final Histogram latency = Histogram.builder()
		.name("masticlane_gateway_request_seconds")
		.help("Time from a request's arrival to its answer.")
		.classicOnly()
		.classicUpperBounds(0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8)
		.labelNames("route")
		.register(this.registry);

	private final Counter attempts = Counter.builder()
		.name("masticlane_gateway_attempts_total")
		.help("Attempts at backend servers by outcome.")
		.labelNames("outcome")
		.register(this.registry);

	private final Counter regionChoices = Counter.builder()
		.name("masticlane_gateway_region_choices_total")
		.help("Attempts at backend servers by region and the reason for it.")
		.labelNames("service", "region", "reason")
		.register(this.registry);

	private final Histogram machineSlowness = Histogram.builder()
		.name("masticlane_gateway_machine_slowness")
		.help("How long work takes on the machines of backend servers as they report it; 1 is usual.")
		.classicOnly()
		.classicUpperBounds(0.5, 0.8, 1.2, 1.6, 2, 3, 4, 10)
		.labelNames("service")
		.register(this.registry);

	private final Counter machineSpeedChoices = Counter.builder()
		.name("masticlane_gateway_machine_speed_choices_total")
		.help("Attempts at backend servers that report the speed of their machine, by what was known of it.")
		.labelNames("service", "known")
		.register(this.registry);

	private final Gauge localFraction = Gauge.builder()
		.name("masticlane_gateway_own_region_share")
		.help("The part of a service's objects that the region of the gateway serves itself.")
		.labelNames("service")
		.register(this.registry);

	private final Gauge room = Gauge.builder()
		.name("masticlane_gateway_room_requests")
		.help("Requests that the servers of a service and region can hold, those that wait for a short time included.")
		.labelNames("service", "region")
		.register(this.registry);

	private final Gauge demand = Gauge.builder()
		.name("masticlane_gateway_demand_requests")
		.help("Requests that the servers of a service and region would hold if all were admitted.")
		.labelNames("service", "region")
		.register(this.registry);

	private final Gauge admittedFraction = Gauge.builder()
		.name("masticlane_gateway_admitted_fraction")
		.help("The fraction of the demanded work that this gateway admits to a service and region.")
		.labelNames("service", "region")
		.register(this.registry);

	private final Counter overloadRefusals = Counter.builder()
		.name("masticlane_gateway_overload_refusals_total")
		.help("Requests that were refused because of overload, by priority.")
		.labelNames("service", "region", "priority")
		.register(this.registry);

	private final Counter storeCalls = Counter.builder()
		.name("masticlane_gateway_store_calls_total")
		.help("Calls to the store by outcome.")
		.labelNames("outcome")
		.register(this.registry);

	private final Counter storeReads = Counter.builder()
		.name("masticlane_gateway_store_snapshots_total")
		.help("Reads of all items of the store, by their reason.")
		.labelNames("reason")
		.register(this.registry);

	private final Counter healthChecks = Counter.builder()
		.name("masticlane_gateway_health_checks_total")
		.help("Health checks of backend servers while the store does not respond, by result.")
		.labelNames("result")
		.register(this.registry);

	private final Counter unexpectedData = Counter.builder()
		.name("masticlane_gateway_unexpected_data_total")
		.help("Connections to backend servers that were closed since they received data that no call awaited.")
		.register(this.registry);

	private final Counter repeatedIdentifiers = Counter.builder()
		.name("masticlane_gateway_repeated_identifiers_total")
		.help("Attempts for which an idle connection was passed over, since it had carried their identifier.")
		.register(this.registry);

	private final Counter pipelined = Counter.builder()
		.name("masticlane_gateway_pipelined_requests_total")
		.help("Requests that callers sent before the response to an earlier one, by what became of them.")
		.labelNames("what")
		.register(this.registry);

	private final Gauge planVersion = Gauge.builder()
		.name("masticlane_gateway_plan_version")
		.help("The version of the traffic plan in force.")
		.register(this.registry);

	private final Gauge messageBytes = Gauge.builder()
		.name("masticlane_gateway_message_bytes")
		.help("Memory of the bodies that are being read or wait to be written, and its limit.")
		.labelNames("what")
		.register(this.registry);

	private final Gauge capacity = Gauge.builder()
		.name("masticlane_gateway_capacity")
		.help("Resources of the entry host according to its settings, 0 if unknown.")
		.labelNames("resource")
		.register(this.registry);

	private final Gauge namedHosts = Gauge.builder()
		.name("masticlane_gateway_named_hosts")
		.help("Entry hosts that look-ups name to callers of the own data centre, by place.")
		.labelNames("place")
		.register(this.registry);

	private final Gauge downloadBytes = Gauge.builder()
		.name("masticlane_gateway_download_bytes")
		.help("Memory that is reserved for downloads and not used yet, used by their bodies, and the limit of both.")
		.labelNames("what")
		.register(this.registry);

	private final Counter downloadsRefused = Counter.builder()
		.name("masticlane_gateway_downloads_refused_total")
		.help("Downloads that were refused before they were sent, by who held the memory.")
		.labelNames("held_by")
		.register(this.registry);

	private final Gauge known = Gauge.builder()
		.name("masticlane_gateway_known")
		.help("Backend servers, entry hosts, rejected documents and age of the store's last answer in seconds.")
		.labelNames("what")
		.register(this.registry);

	void requestFinished(String route, String outcome, long nanos) {
		this.requests.labelValues(route, outcome).inc();
		this.latency.labelValues(route).observe(nanos / (double) TimeUnit.SECONDS.toNanos(1));
	}

	void attemptFinished(String outcome) {
		this.attempts.labelValues(outcome).inc();
	}

	void regionChosen(String service, PlacementChoice choice) {
		this.regionChoices.labelValues(service, choice.server().region(), choice.reason().name()).inc();
		MachineSpeed speed = choice.server().machineSpeed();
		if (speed.isReported()) {
			this.machineSpeedChoices.labelValues(service, speed.isRecent(System.nanoTime()) ? "recent" : "outdated")
				.inc();
		}
	}

	void loadReported(ServerState server, ServerLoad load) {
		load.slowness()
			.ifPresent((figure) -> this.machineSlowness.labelValues(server.entry().service())
				.observe(figure / ServerLoad.USUAL_SLOWNESS));
	}

	void localFractions(Map<String, Double> fractions) {
		fractions.forEach((service, fraction) -> this.localFraction.labelValues(service).set(fraction));
	}

	void overload(OverloadControls.Scope scope, OverloadState state) {
		this.room.labelValues(scope.service(), scope.region()).set(state.roomRequests());
		this.demand.labelValues(scope.service(), scope.region()).set(state.demandRequests());
		this.admittedFraction.labelValues(scope.service(), scope.region()).set(state.admittedFraction());
	}

	void overloadRefused(String service, String region, int priority) {
		this.overloadRefusals.labelValues(service, region, String.valueOf(priority)).inc();
	}

	void storeCallFinished(boolean succeeded) {
		this.storeCalls.labelValues(succeeded ? "answered" : "failed").inc();
	}

	void storeRead(StoreFollower.SnapshotReason reason) {
		this.storeReads.labelValues(reason.name().toLowerCase(Locale.ROOT)).inc();
	}

	void healthCheckFinished(String result) {
		this.healthChecks.labelValues(result).inc();
	}

	void unexpectedDataReceived() {
		this.unexpectedData.inc();
	}

	void identifierRepeated() {
		this.repeatedIdentifiers.inc();
	}

	void pipelinedRequests(String what, int count) {
		this.pipelined.labelValues(what).inc(count);
	}

	void planChanged(long version) {
		this.planVersion.set(version);
	}

	void messageMemory(long usedBytes, long limitBytes) {
		this.messageBytes.labelValues("used").set(usedBytes);
		this.messageBytes.labelValues("limit").set(limitBytes);
	}

	void capacity(HostCapacity capacity) {
		this.capacity.labelValues("cpu_cores").set(capacity.cores());
		this.capacity.labelValues("memory_megabytes").set(capacity.memoryMegabytes());
		this.capacity.labelValues("bandwidth_megabits").set(capacity.bandwidthMegabits());
	}

	void namedHosts(long inDataCentre, long elsewhere) {
		this.namedHosts.labelValues("own_data_centre").set(inDataCentre);
		this.namedHosts.labelValues("elsewhere").set(elsewhere);
	}

	void downloadMemory(DownloadMemory memory) {
		this.downloadBytes.labelValues("reserved").set(memory.unusedBytes());
		this.downloadBytes.labelValues("used").set(memory.usedBytes());
		this.downloadBytes.labelValues("limit").set(memory.limitBytes());
	}

	void downloadsRefused(String heldBy, long count) {
		this.downloadsRefused.labelValues(heldBy).inc(count);
	}

	void known(int servers, int members, int rejectedDocuments, double storeAgeSeconds, long droppedLines) {
		this.known.labelValues("servers").set(servers);
		this.known.labelValues("entry_hosts").set(members);
		this.known.labelValues("rejected_documents").set(rejectedDocuments);
		this.known.labelValues("store_age_seconds").set(storeAgeSeconds);
		this.known.labelValues("dropped_log_lines").set(droppedLines);
	}

	byte[] render() {
		return MetricsText.render(this.registry);
	}

}
