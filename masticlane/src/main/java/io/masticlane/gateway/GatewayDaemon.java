package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.masticlane.caller.BodyAggregator;
import io.masticlane.caller.CallerCodec;
import io.masticlane.event.Event;
import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayFleet;
import io.masticlane.peer.Peer;
import io.masticlane.plan.CallerLimits;
import io.masticlane.plan.TrafficPlan;
import io.masticlane.setting.GatewaySettings;
import io.masticlane.setting.SettingsChange;
import io.masticlane.store.SharedState;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.AttributeKey;

/**
 * The gateway daemon of an entry host. Connections and decisions share one event loop,
 * since every switch between threads costs a wake-up; log lines go to a thread of their
 * own.
 */
public final class GatewayDaemon implements DirectoryHandler.Endpoints {

	private static final AttributeKey<ReadTimeoutTracker> CLOCK = AttributeKey.valueOf("clock");

	private static final int BACKLOG = 1024;

	/**
	 * A request holds a connection of its caller and one to a backend server.
	 */
	private static final int CONNECTIONS_OF_A_REQUEST = 2;

	/**
	 * The part of requests from which a change of their region is logged.
	 */
	private static final double LOGGED_SHIFT = 0.05;

	private static final int PERCENT = 100;

	private static final int LOOK_UP_BODY_BYTES = 4096;

	private static final int LARGEST_LINE_BYTES = 8 * 1024;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private final ChannelGroup callers = new DefaultChannelGroup(this.loop);

	private final CountDownLatch ended = new CountDownLatch(1);

	private final GatewaySettings settings;

	private volatile GatewaySettings reread;

	private Map<String, String> regions;

	private final DecisionLog events;

	private final GatewayFleet fleet;

	private final GatewayContext traffic;

	private final GatewayView beliefs;

	private final StoreFollower follower;

	private final Registration registration;

	private final PeerReports peers;

	private final String incarnation = UUID.randomUUID().toString().substring(0, 8);

	private final List<Channel> listeners = new ArrayList<>();

	private long leavingSince;

	/**
	 * Creates a daemon.
	 * @param settings the settings
	 * @param platform the platform
	 * @param events the log
	 */
	public GatewayDaemon(GatewaySettings settings, Platform platform, DecisionLog events) {
		this.settings = settings;
		this.reread = settings;
		this.regions = regions(settings.regions());
		this.events = events;
		this.fleet = new GatewayFleet(settings.host());
		this.traffic = new GatewayContext(this.loop, platform.dialect(), settings, events, this.fleet);
		this.beliefs = new GatewayView(this.traffic, this.fleet, settings.host(), this::regionOf, this::connect);
		SharedState store = platform.store(this.loop, settings.storeAddress());
		this.follower = new StoreFollower(this.loop, store, this.beliefs);
		this.registration = new Registration(this.loop, store, this::self, settings.storeMinimumLeaseSeconds(),
				(lease, reason) -> events.record(Event.REGISTRATION_LOST, settings.host(), lease, reason));
		this.peers = new PeerReports(this.loops, this.traffic, this.fleet, this.beliefs, this.follower,
				new Peer(settings.host(), this.incarnation));
	}

	/**
	 * Starts the daemon.
	 */
	public void start() {
		this.listeners.add(listenForCallers(this.settings.callerAddress()));
		listenForService(this.settings.readinessAddress());
		listenForService(this.settings.directoryAddress());
		this.peers.listen(this.settings.peerAddress());
		this.loop.execute(() -> {
			this.fleet.memberUpdated(self(), System.nanoTime());
			this.follower.start();
			this.registration.start();
		});
		every(GatewayTimes.TICK_INTERVAL_MILLIS, this::tick);
		every(GatewayTimes.REPORT_INTERVAL_MILLIS, () -> this.peers.report(isReady()));
		every(GatewayTimes.SWEEP_INTERVAL_MILLIS, this::sweep);
		this.events.record(Event.GATEWAY_STARTED, this.settings.host(), this.incarnation, this.settings.region(),
				this.settings.dataCentre(), this.settings.callerAddress(), this.settings.storeAddress());
	}

	/**
	 * Receives the settings as they were read again.
	 * @param newer the settings
	 */
	public void settings(GatewaySettings newer) {
		this.loop.execute(() -> adopt(newer));
	}

	/**
	 * Begins a planned stop and waits for its end: callers are told to go elsewhere, and
	 * requests under way are answered.
	 */
	public void stop() {
		this.loop.execute(this::leave);
		try {
			this.ended.await((long) (this.reread.graceSeconds() * TimeUnit.SECONDS.toMillis(1)), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.events.close();
	}

	/**
	 * Ends the daemon at once, as a lost process does.
	 */
	public void kill() {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
		this.events.close();
	}

	@Override
	public Optional<byte[]> lookUp(Dialect.LookUp lookUp) {
		String region = this.regions.getOrDefault(lookUp.dataCentre(), lookUp.region());
		List<InetSocketAddress> addresses = this.fleet.availableGateways(region, System.nanoTime())
			.stream()
			.filter((gateway) -> isReady() || !gateway.host().equals(this.settings.host()))
			.map(Gateway::callerAddress)
			.toList();
		double ttl = Math.min(GatewayTimes.LOOK_UP_TTL_SECONDS, this.reread.maximumTtlSeconds());
		return addresses.isEmpty() ? Optional.empty()
				: Optional.of(this.traffic.dialect().lookUpResponse(addresses, ttl));
	}

	@Override
	public boolean isReady() {
		return this.beliefs.isLoaded() && this.traffic.plan().version() != TrafficPlan.NO_VERSION
				&& !this.traffic.isLeaving();
	}

	@Override
	public byte[] metrics() {
		return this.traffic.metrics().render();
	}

	private Gateway self() {
		return new Gateway(this.settings.host(), this.incarnation, this.settings.dataCentre(), this.settings.region(),
				this.settings.callerAddress(), this.settings.peerAddress(), this.traffic.isLeaving());
	}

	private void adopt(GatewaySettings newer) {
		SettingsChange change = SettingsChange.between(this.reread, newer);
		this.reread = newer;
		this.regions = regions(newer.regions());
		this.traffic.settings(newer);
		this.events.record(Event.SETTINGS_READ, String.join(",", change.inForce()),
				String.join(",", change.nextStart()));
	}

	private String regionOf(String dataCentre) {
		return this.regions.getOrDefault(dataCentre, dataCentre);
	}

	private void connect(List<Gateway> others) {
		this.peers.connect(others);
	}

	private void tick() {
		long now = System.nanoTime();
		this.beliefs.expire(now);
		this.traffic.placement().update(this.fleet.ownShares(this.settings.region(), now), now);
		this.traffic.regionFlow()
			.closeWindow(now)
			.filter((change) -> change.movedFraction() >= LOGGED_SHIFT)
			.ifPresent(
					(change) -> this.events.record(Event.REGIONS_CHANGED, Math.round(change.movedFraction() * PERCENT),
							change.before(), change.after(), change.reasons(), change.refused(), ownShares()));
	}

	private String ownShares() {
		return this.traffic.placement()
			.localFractions()
			.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey())
			.map((entry) -> String.format(Locale.ROOT, "%s:%.2f", entry.getKey(), entry.getValue()))
			.collect(Collectors.joining(","));
	}

	private void sweep() {
		long now = System.nanoTime();
		CallerLimits limits = this.traffic.plan().limits();
		this.callers.forEach((channel) -> {
			if (channel.attr(CLOCK).get().isTimedOut(limits, now)) {
				channel.close();
			}
		});
		if (this.callers.size() > this.reread.maximumDescriptors() / CONNECTIONS_OF_A_REQUEST) {
			this.callers.forEach((channel) -> channel.pipeline().get(CallerHandler.class).closeIfIdle());
		}
		this.traffic.connections().closeExpired();
		this.traffic.metrics().ownShares(this.traffic.placement().localFractions());
		this.traffic.metrics()
			.known(this.traffic.placement().servers().size(), this.fleet.size(),
					this.follower.ageMillis() / (double) TimeUnit.SECONDS.toMillis(1), this.events.droppedLines());
	}

	private void leave() {
		if (this.traffic.isLeaving()) {
			return;
		}
		this.leavingSince = System.nanoTime();
		this.events.record(Event.GATEWAY_STOPPING, this.settings.host(), this.traffic.inFlight());
		this.traffic.leave();
		this.fleet.memberUpdated(self(), this.leavingSince);
		this.registration.rewrite();
		this.peers.report(false);
		this.loop.schedule(this::end, GatewayTimes.LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Ends the daemon once no caller can lose a request: nothing new is accepted first,
	 * then idle connections are closed, and those with a request under way follow when it
	 * is answered.
	 */
	private void end() {
		this.listeners.forEach(Channel::close);
		this.callers.forEach((channel) -> channel.pipeline().get(CallerHandler.class).closeIfIdle());
		long after = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.leavingSince);
		double latest = this.reread.graceSeconds() * TimeUnit.SECONDS.toMillis(1) - GatewayTimes.KILL_MARGIN_MILLIS;
		if (!this.callers.isEmpty() && after < latest) {
			this.loop.schedule(this::end, GatewayTimes.TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		this.follower.stop();
		this.registration.stop();
		this.events.record(Event.GATEWAY_STOPPED, this.settings.host(), this.traffic.inFlight(), after);
		this.loop.schedule(this.ended::countDown, GatewayTimes.FINAL_WRITES_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void every(long millis, Runnable task) {
		this.loop.scheduleWithFixedDelay(task, millis, millis, TimeUnit.MILLISECONDS);
	}

	private Channel listenForCallers(InetSocketAddress address) {
		return listen(address, new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				CallerLimits limits = GatewayDaemon.this.traffic.plan().limits();
				ReadTimeoutTracker clock = new ReadTimeoutTracker();
				channel.attr(CLOCK).set(clock);
				channel.pipeline()
					.addLast(clock,
							new CallerCodec(new HttpDecoderConfig().setMaxInitialLineLength(LARGEST_LINE_BYTES)
								.setMaxHeaderSize(limits.maximumHeadBytes())),
							new HeadWatch(clock), new BodyAggregator(limits.maximumBodyBytes()),
							new CallerHandler(GatewayDaemon.this.traffic, clock));
				GatewayDaemon.this.callers.add(channel);
			}
		});
	}

	private void listenForService(InetSocketAddress address) {
		listen(address, new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new HttpServerCodec(), new HttpObjectAggregator(LOOK_UP_BODY_BYTES),
							new DirectoryHandler(GatewayDaemon.this.traffic.dialect(), GatewayDaemon.this));
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

	private static Map<String, String> regions(String text) {
		Map<String, String> regions = new HashMap<>();
		Arrays.stream(text.split(",")).map((each) -> each.trim().split(":", 2)).forEach((pair) -> {
			if (pair.length == 2) {
				regions.put(pair[0], pair[1]);
			}
		});
		return Map.copyOf(regions);
	}

	/**
	 * Tells the clock of a connection when a head was read.
	 */
	private static final class HeadWatch extends ChannelInboundHandlerAdapter {

		private final ReadTimeoutTracker clock;

		private HeadWatch(ReadTimeoutTracker clock) {
			this.clock = clock;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
			if (message instanceof HttpRequest) {
				this.clock.headReceived();
			}
			super.channelRead(context, message);
		}

	}

}
