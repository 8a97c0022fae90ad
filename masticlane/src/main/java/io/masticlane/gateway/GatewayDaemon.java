package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.masticlane.event.Event;
import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayFleet;
import io.masticlane.fleet.HostCapacity;
import io.masticlane.plan.CallerLimits;
import io.masticlane.plan.TrafficPlan;
import io.masticlane.setting.GatewaySettings;
import io.masticlane.setting.SettingsChange;
import io.masticlane.store.SharedState;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * The gateway daemon of an entry host. Connections and decisions share one event loop,
 * since every hand-over between threads costs a wake-up; log lines are written by a
 * separate thread.
 */
public final class GatewayDaemon implements DirectoryHandler.Endpoints {

	private static final int BACKLOG = 1024;

	/**
	 * The connections that a request occupies: one of its caller and one to a backend
	 * server.
	 */
	private static final int CONNECTIONS_PER_REQUEST = 2;

	/**
	 * The fraction of requests from which a shift between regions is logged.
	 */
	private static final double LOGGED_SHIFT_FRACTION = 0.05;

	private static final int PERCENT = 100;

	private static final int MAXIMUM_LOOK_UP_BODY_BYTES = 4096;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private final ChannelGroup callers = new DefaultChannelGroup(this.loop);

	private final CountDownLatch terminated = new CountDownLatch(1);

	private final GatewaySettings settings;

	private volatile GatewaySettings currentSettings;

	private final DecisionLog events;

	private final GatewayFleet fleet;

	private final GatewayContext gateway;

	private final HostDirectory directory;

	private final GatewayView view;

	private final StoreFollower follower;

	private final Registration registration;

	private final ViewFreshness freshness;

	private final HealthChecks healthChecks;

	private final PeerReports peers;

	private final String incarnation = UUID.randomUUID().toString().substring(0, 8);

	private final List<Channel> listeners = new ArrayList<>();

	/**
	 * Creates a daemon.
	 * @param settings the settings
	 * @param platform the platform
	 * @param events the event log
	 */
	public GatewayDaemon(GatewaySettings settings, Platform platform, DecisionLog events) {
		this.settings = settings;
		this.currentSettings = settings;
		this.events = events;
		this.fleet = new GatewayFleet(settings.host());
		this.gateway = new GatewayContext(this.loop, platform.dialect(), settings, events, this.fleet);
		this.directory = new HostDirectory(this.gateway, this.fleet, settings, this::isReady);
		long followPauseMillis = GatewayTimes.followPauseMillis(settings);
		this.view = new GatewayView(this.gateway, this.fleet, settings.host(), this.directory::region,
				this::connectPeers, this::ownEntryMissing, followPauseMillis + GatewayTimes.STORE_LOST_MARGIN_MILLIS);
		SharedState store = platform.store(this.loop, settings.storeAddress());
		this.follower = new StoreFollower(this.loop, store, this.view, followPauseMillis);
		this.registration = new Registration(this.loop, store, this::self, settings.storeMinimumLeaseSeconds(),
				(lease, reason) -> events.record(Event.REGISTRATION_LOST, settings.host(), lease, reason));
		this.freshness = new ViewFreshness(this.follower, this.registration, this.fleet);
		this.healthChecks = new HealthChecks(this.gateway, this.freshness);
		this.gateway.requestSentListener(this.healthChecks::checkIfNeeded);
		this.peers = new PeerReports(this.loops, this.gateway, this.fleet, this.view, this.follower, this.freshness,
				this::self);
	}

	/**
	 * Starts the daemon.
	 */
	public void start() {
		this.listeners.add(listenForCallers(this.settings.callerAddress()));
		listenForDirectory(this.settings.readinessAddress());
		listenForDirectory(this.settings.directoryAddress());
		this.peers.listen(this.settings.peerAddress());
		this.loop.execute(() -> {
			this.fleet.memberUpdated(self(), System.nanoTime());
			this.follower.start();
			this.registration.start();
		});
		scheduleEvery(GatewayTimes.TICK_INTERVAL_MILLIS, this::tick);
		scheduleEvery(GatewayTimes.REPORT_INTERVAL_MILLIS, () -> this.peers.report(isReady()));
		scheduleEvery(GatewayTimes.SWEEP_INTERVAL_MILLIS, this::sweep);
		this.events.record(Event.GATEWAY_STARTED, this.settings.host(), this.incarnation, this.settings.region(),
				this.settings.dataCentre(), this.settings.callerAddress(), this.settings.storeAddress());
	}

	/**
	 * Applies reloaded settings.
	 * @param updated the reloaded settings
	 */
	public void settings(GatewaySettings updated) {
		this.loop.execute(() -> applySettings(updated));
	}

	/**
	 * Drains and stops the daemon: callers are directed to other gateways, requests in
	 * flight are completed, and the method returns at the end or after the grace period.
	 */
	public void stop() {
		StopSchedule schedule = StopSchedule.of(System.nanoTime(), this.currentSettings.graceSeconds());
		this.loop.execute(() -> startDraining(schedule));
		try {
			this.terminated.await(schedule.graceMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.events.close();
	}

	/**
	 * Stops the daemon abruptly, like a crash of its process.
	 */
	public void kill() {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
		this.events.close();
	}

	@Override
	public Optional<byte[]> lookUp(Dialect.LookUp lookUp) {
		return this.directory.lookUp(lookUp);
	}

	@Override
	public boolean isReady() {
		return this.view.isLoaded() && this.gateway.plan().version() != TrafficPlan.NO_VERSION
				&& !this.gateway.isLeaving();
	}

	@Override
	public byte[] metrics() {
		return this.gateway.metrics().render();
	}

	private Gateway self() {
		return new Gateway(this.settings.host(), this.incarnation, this.settings.dataCentre(), this.settings.region(),
				this.settings.callerAddress(), this.settings.peerAddress(), this.gateway.isLeaving(),
				this.directory.capacity());
	}

	private void applySettings(GatewaySettings updated) {
		SettingsChange change = SettingsChange.between(this.currentSettings, updated);
		this.currentSettings = updated;
		this.gateway.settings(updated);
		HostCapacity previous = this.directory.capacity();
		this.directory.settings(updated);
		if (!previous.equals(this.directory.capacity())) {
			this.fleet.memberUpdated(self(), System.nanoTime());
			this.registration.rewrite();
		}
		this.events.record(Event.SETTINGS_READ, String.join(",", change.inForce()),
				String.join(",", change.nextStart()));
	}

	private void connectPeers() {
		this.peers.connect();
	}

	private void ownEntryMissing(long snapshotStartedAt) {
		this.registration.entryMissing(snapshotStartedAt);
	}

	private void tick() {
		long now = System.nanoTime();
		this.view.expire(now);
		this.fleet.expire(now);
		this.peers.relay();
		this.healthChecks.update(now);
		this.gateway.placement().update(this.fleet.localFractions(this.settings.region(), now), now);
		this.gateway.overload().update(now);
		this.gateway.regionFlow()
			.closeWindow(now)
			.filter((change) -> change.movedFraction() >= LOGGED_SHIFT_FRACTION)
			.ifPresent((change) -> this.events.record(Event.REGIONS_CHANGED,
					Math.round(change.movedFraction() * PERCENT), change.before(), change.after(), change.reasons(),
					change.refused(), formatLocalFractions()));
	}

	private String formatLocalFractions() {
		return this.gateway.placement()
			.localFractions()
			.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.map((entry) -> String.format(Locale.ROOT, "%s:%.2f", entry.getKey(), entry.getValue()))
			.collect(Collectors.joining(","));
	}

	private void sweep() {
		long now = System.nanoTime();
		CallerLimits limits = this.gateway.plan().limits();
		this.callers.forEach((channel) -> {
			if (CallerPipeline.timeouts(channel).isTimedOut(limits, now)) {
				channel.pipeline().get(CallerHandler.class).closeTimedOut();
			}
		});
		if (this.callers.size() > this.currentSettings.maximumDescriptors() / CONNECTIONS_PER_REQUEST) {
			forEachCaller(CallerHandler::closeIfIdle);
		}
		this.gateway.connections().closeExpired();
		this.directory.recordChanges();
		this.gateway.metrics().messageMemory(this.gateway.memory().usedBytes(), this.gateway.memory().limitBytes());
		this.gateway.downloads().report(this.gateway.metrics(), this.events, now);
		this.gateway.metrics().localFractions(this.gateway.placement().localFractions());
		this.gateway.metrics()
			.known(this.gateway.placement().servers().size(), this.fleet.size(), this.view.rejectedDocuments(),
					this.freshness.storeAgeMillis() / (double) TimeUnit.SECONDS.toMillis(1),
					this.events.droppedLines());
	}

	private void startDraining(StopSchedule schedule) {
		if (this.gateway.isLeaving()) {
			return;
		}
		this.events.record(Event.GATEWAY_STOPPING, this.settings.host(), this.gateway.inFlight());
		this.gateway.leave(schedule);
		this.fleet.memberUpdated(self(), System.nanoTime());
		this.registration.rewrite();
		this.peers.report(false);
		this.loop.schedule(() -> closeListeners(schedule), schedule.lingerMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes the listeners. The requests on the connections accepted last may still be on
	 * their way, so that idle connections are closed a little later.
	 * @param schedule the schedule of the stop
	 */
	private void closeListeners(StopSchedule schedule) {
		this.listeners.forEach(Channel::close);
		this.loop.schedule(() -> stopWhenDrained(schedule),
				Math.max(0, Math.min(schedule.remainingMillis(System.nanoTime()), GatewayTimes.TICK_INTERVAL_MILLIS)),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops the daemon without losing requests: idle connections are closed first, and
	 * each connection with a request in flight after its response.
	 * @param schedule the schedule of the stop
	 */
	private void stopWhenDrained(StopSchedule schedule) {
		forEachCaller(CallerHandler::closeIfIdle);
		long now = System.nanoTime();
		long remainingMillis = schedule.remainingMillis(now);
		if (awaitsCallers() && remainingMillis > 0) {
			this.loop.schedule(() -> stopWhenDrained(schedule),
					Math.min(remainingMillis, GatewayTimes.TICK_INTERVAL_MILLIS), TimeUnit.MILLISECONDS);
			return;
		}
		this.follower.stop();
		this.registration.stop();
		this.events.record(Event.GATEWAY_STOPPED, this.settings.host(), this.gateway.inFlight(),
				schedule.elapsedMillis(now));
		forEachCaller(CallerHandler::endInFlight);
		this.loop.schedule(() -> terminateWhenAnswered(schedule), GatewayTimes.FINAL_WRITES_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Ends the process when callers have closed the connections of the last responses, or
	 * when its time is over. What they have not read by then may be lost.
	 * @param schedule the schedule of the stop
	 */
	private void terminateWhenAnswered(StopSchedule schedule) {
		if (awaitsCallers() && schedule.endsLater(System.nanoTime())) {
			this.loop.schedule(() -> terminateWhenAnswered(schedule), GatewayTimes.FINAL_POLL_MILLIS,
					TimeUnit.MILLISECONDS);
			return;
		}
		forEachCaller(CallerHandler::processEnds);
		this.gateway.connections().close();
		this.terminated.countDown();
	}

	private boolean awaitsCallers() {
		return this.callers.stream().anyMatch((channel) -> channel.pipeline().get(CallerHandler.class).isAwaited());
	}

	private void forEachCaller(Consumer<CallerHandler> action) {
		this.callers.forEach((channel) -> action.accept(channel.pipeline().get(CallerHandler.class)));
	}

	private void scheduleEvery(long millis, Runnable task) {
		this.loop.scheduleWithFixedDelay(task, millis, millis, TimeUnit.MILLISECONDS);
	}

	private Channel listenForCallers(InetSocketAddress address) {
		return listen(address, new CallerPipeline(this.gateway, this.callers::add));
	}

	private void listenForDirectory(InetSocketAddress address) {
		listen(address, new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAXIMUM_LOOK_UP_BODY_BYTES),
							new DirectoryHandler(GatewayDaemon.this.gateway.dialect(), GatewayDaemon.this));
			}
		});
	}

	private Channel listen(InetSocketAddress address, ChannelInitializer<SocketChannel> initializer) {
		return new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer)
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

}
