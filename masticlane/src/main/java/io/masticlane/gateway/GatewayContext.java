package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.ObjLongConsumer;

import io.masticlane.admission.AdmissionPolicy;
import io.masticlane.admission.RetryAllowance;
import io.masticlane.client.ConnectionPool;
import io.masticlane.client.ConnectionUse;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.fleet.GatewayFleet;
import io.masticlane.memory.MessageMemory;
import io.masticlane.placement.Placement;
import io.masticlane.placement.RegionFlow;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.TrafficPlan;
import io.masticlane.quota.RateShares;
import io.masticlane.setting.GatewaySettings;
import io.netty.channel.EventLoop;

/**
 * The state that all requests of a gateway share. It is confined to one event loop.
 */
final class GatewayContext {

	/**
	 * One out of this number of served requests is logged.
	 */
	private static final int LOG_SAMPLING_INTERVAL = 64;

	private static final int MAXIMUM_STARTUP_REQUESTS = 512;

	private final EventLoop loop;

	private final Dialect dialect;

	private final String region;

	private final int fullMeshHosts;

	private GatewaySettings settings;

	private final EventLog events;

	private final GatewayFleet fleet;

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final PipelineEvents pipelineEvents;

	private final Placement placement;

	private final RegionFlow regionFlow = new RegionFlow();

	private final AdmissionPolicy admission = new AdmissionPolicy(() -> ThreadLocalRandom.current().nextDouble());

	private final OverloadGate overload;

	private final RateShares shares = new RateShares(() -> ThreadLocalRandom.current().nextDouble());

	private final WeightedRoundRobin splits = new WeightedRoundRobin();

	private final Map<String, RetryAllowance> retryAllowances = new HashMap<>();

	private final MessageMemory memory = MessageMemory.ofHeap(1);

	private final Downloads downloads = new Downloads(this.memory.downloads(),
			() -> ThreadLocalRandom.current().nextDouble(), System.nanoTime());

	private final ConnectionPool servers;

	private final ServerAnnouncements announcements;

	private ObjLongConsumer<ServerState> requestSentListener = (server, now) -> {
	};

	private final StartupQueue startupQueue = new StartupQueue(MAXIMUM_STARTUP_REQUESTS);

	private TrafficPlan plan = TrafficPlan.empty();

	private Optional<StopSchedule> stop = Optional.empty();

	private int inFlight;

	private int served;

	GatewayContext(EventLoop loop, Dialect dialect, GatewaySettings settings, EventLog events, GatewayFleet fleet) {
		this.loop = loop;
		this.dialect = dialect;
		this.region = settings.region();
		this.fullMeshHosts = settings.fullMeshHosts();
		this.settings = settings;
		this.events = events;
		this.fleet = fleet;
		this.pipelineEvents = new PipelineEvents(this.metrics, events);
		this.placement = new Placement(settings.region(), settings.coldOvershoot(), settings.coldSlack());
		this.overload = new OverloadGate(this.placement, this.admission, this.metrics, events);
		this.servers = new ConnectionPool(loop, GatewayTimes.CONNECT_TIMEOUT_MILLIS, GatewayTimes.IDLE_TIMEOUT_MILLIS,
				this.memory, this::unexpectedDataReceived);
		this.announcements = new ServerAnnouncements(this.servers, events);
	}

	private void unexpectedDataReceived(InetSocketAddress address, ConnectionUse lastUse, String data) {
		this.metrics.unexpectedDataReceived();
		this.events.record(Event.DATA_UNEXPECTED, address, lastUse.connection(), lastUse.calls(), data);
	}

	void settings(GatewaySettings updated) {
		this.settings = updated;
		this.placement.setColdBounds(updated.coldOvershoot(), updated.coldSlack());
		this.retryAllowances.values().forEach((allowance) -> allowance.ratio(updated.retryRatio()));
	}

	void plan(TrafficPlan updated) {
		this.plan = updated;
		this.overload.enable(updated.hasDownloads());
		this.shares.organisations(updated.organisations().values());
		this.downloads.plan(updated);
		this.metrics.planChanged(updated.version());
	}

	void leave(StopSchedule schedule) {
		this.stop = Optional.of(schedule);
	}

	RetryAllowance retryAllowance(String service) {
		RetryAllowance allowance = this.retryAllowances.computeIfAbsent(service,
				(name) -> new RetryAllowance(this.settings.retryRatio()));
		allowance.divide(this.settings.retrySlack(), this.fleet.size());
		return allowance;
	}

	int fullMeshHosts() {
		return this.fullMeshHosts;
	}

	int gateways() {
		return this.fleet.size();
	}

	int reportingGateways() {
		return this.fleet.freshReportCount(System.nanoTime()) + 1;
	}

	int gatewaysInRegion() {
		return this.fleet.regionSize(this.region);
	}

	/**
	 * Returns whether a served request is logged: a sample, or each one during a planned
	 * stop, when a connection may end without its caller's doing.
	 * @return whether the request is logged
	 */
	boolean sampleServed() {
		return this.served++ % LOG_SAMPLING_INTERVAL == 0 || isLeaving();
	}

	void requestStarted() {
		this.inFlight++;
	}

	void requestSentListener(ObjLongConsumer<ServerState> listener) {
		this.requestSentListener = listener;
	}

	void requestSent(ServerState server, long now) {
		this.requestSentListener.accept(server, now);
	}

	void requestFinished(String route, String outcome, long nanos) {
		this.inFlight--;
		this.metrics.requestFinished(route, outcome, nanos);
	}

	EventLoop loop() {
		return this.loop;
	}

	Dialect dialect() {
		return this.dialect;
	}

	EventLog events() {
		return this.events;
	}

	GatewayMetrics metrics() {
		return this.metrics;
	}

	PipelineEvents pipelineEvents() {
		return this.pipelineEvents;
	}

	Placement placement() {
		return this.placement;
	}

	RegionFlow regionFlow() {
		return this.regionFlow;
	}

	AdmissionPolicy admission() {
		return this.admission;
	}

	OverloadGate overload() {
		return this.overload;
	}

	RateShares shares() {
		return this.shares;
	}

	WeightedRoundRobin splits() {
		return this.splits;
	}

	ConnectionPool connections() {
		return this.servers;
	}

	ServerAnnouncements announcements() {
		return this.announcements;
	}

	MessageMemory memory() {
		return this.memory;
	}

	Downloads downloads() {
		return this.downloads;
	}

	StartupQueue startupQueue() {
		return this.startupQueue;
	}

	TrafficPlan plan() {
		return this.plan;
	}

	boolean isLeaving() {
		return this.stop.isPresent();
	}

	/**
	 * Returns the schedule of the planned stop.
	 * @return the schedule, or empty if the gateway is not leaving
	 */
	Optional<StopSchedule> stop() {
		return this.stop;
	}

	int inFlight() {
		return this.inFlight;
	}

}
