package io.masticlane.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.masticlane.backend.SlotBalancer;
import io.masticlane.caller.CallerServer;
import io.masticlane.caller.EntryServices;
import io.masticlane.configuration.EntryHost;
import io.masticlane.duty.Duty;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.limit.Limits;
import io.masticlane.membership.EntryHostDirectory;
import io.masticlane.membership.Members;
import io.masticlane.message.Message;
import io.masticlane.operation.StoreOperations;
import io.masticlane.operator.Metrics;
import io.masticlane.operator.OperatorServer;
import io.masticlane.peer.MessageRouter;
import io.masticlane.peer.Peer;
import io.masticlane.peer.PeerListener;
import io.masticlane.peer.PeerNetwork;
import io.masticlane.platform.ConfigurationEnvelope;
import io.masticlane.platform.EtcdStore;
import io.masticlane.platform.Store;
import io.masticlane.route.RoutingTable;
import io.masticlane.setting.EntrySettings;
import io.masticlane.setting.SettingSource;
import io.masticlane.steering.RegionOrder;
import io.masticlane.steering.Steering;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * The daemon of an entry host: one thread for each duty, joined by bounded rings.
 */
public final class EntryDaemon implements AutoCloseable {

	private static final int CALLER_THREADS = 2;

	private static final int DECISIONS_CAPACITY = 65_536;

	private static final int PLATFORM_CAPACITY = 1_024;

	private static final long PLATFORM_TICK_MILLIS = 500;

	private static final long DECISIONS_TICK_MILLIS = 10;

	private static final long DIRECTORY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long DRAIN_STEP_MILLIS = 20;

	private final EntrySettings settings;

	private final EventLog events;

	private final Peer self;

	private final Metrics metrics = new Metrics();

	private final EventLoopGroup callerLoops = loops("callers", CALLER_THREADS);

	private final EventLoopGroup peerLoops = loops("peers", 1);

	private final ExecutorService platformClient = Executors.newSingleThreadExecutor(threads("platform-client"));

	private final Members members;

	private final ConfigurationState configuration;

	private final PeerNetwork network;

	private final MessageRouter router = new MessageRouter();

	private final Steering steering;

	private final Duty decisions;

	private final Duty platform;

	private final OperatorServer operators;

	private final Channel callerChannel;

	private final Channel peerChannel;

	private volatile EntryHostDirectory directory;

	private volatile boolean leaving;

	private volatile boolean stopping;

	private volatile int inFlight;

	private volatile long storeHeardAt = System.nanoTime();

	private long sequence;

	private long nextHeartbeat = System.nanoTime();

	private long nextDirectory = System.nanoTime();

	/**
	 * Creates a new daemon and starts it.
	 * @param settings the settings
	 * @param events the log of events
	 * @throws IOException if an address cannot be bound
	 */
	public EntryDaemon(EntrySettings settings, EventLog events) throws IOException {
		this.settings = settings;
		this.events = events;
		this.self = new Peer(settings.host(), UUID.randomUUID().toString());
		this.members = new Members(settings.silenceMillis());
		this.configuration = new ConfigurationState(events, this::inForce);
		Store store = new EtcdStore(settings.storeAddress(), Duration.ofMillis(settings.storeTimeoutMillis()),
				this.platformClient);
		this.network = new PeerNetwork(this.peerLoops, this.self, settings.silenceMillis(), new DecidingListener(),
				events);
		this.steering = new Steering(new Limits.EqualShares(),
				new StoreOperations(store, settings.storePrefix(), this.self.incarnation(), executor()),
				new SlotBalancer(settings.host()), new RegionOrder.NearestFirst(settings.dataCentre()));
		registerHandlers();
		this.decisions = new Duty("decisions", DECISIONS_CAPACITY, DECISIONS_TICK_MILLIS, this::tick, events);
		StoreWatch watch = new StoreWatch(store, settings.storePrefix() + ConfigurationEnvelope.KEY,
				(entry) -> this.decisions.offer(() -> storeHeard(entry.orElse(null))), events);
		this.platform = new Duty("platform", PLATFORM_CAPACITY, PLATFORM_TICK_MILLIS, watch::poll, events);
		this.peerChannel = this.network.listen(settings.peerAddress());
		this.network.dial(settings.peers());
		EntryServices services = new EntryServices(this.steering, this.decisions::offer, this.configuration::table,
				(client) -> this.directory.answer(client), () -> this.stopping, this.metrics);
		this.callerChannel = new CallerServer(this.callerLoops, services, settings.maximumBodyBytes())
			.listen(settings.callerAddress());
		this.operators = new OperatorServer(settings.operatorAddress(), this.metrics,
				() -> this.directory != null && !this.leaving, this::status);
		events.record(Event.ENTRY_STARTED, settings.host(), this.self.incarnation());
	}

	/**
	 * Stops as planned: steers callers away, goes on serving until their cached look-ups
	 * have expired, then ends when no request is in flight.
	 */
	public void drain() {
		this.leaving = true;
		this.events.record(Event.ENTRY_STOPPING, this.settings.host(), this.inFlight);
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.drainMillis());
		pause(Math.min(this.settings.drainMillis(), this.settings.lookUpTtlMillis()));
		this.stopping = true;
		while (this.inFlight > 0 && deadline - System.nanoTime() > 0) {
			pause(DRAIN_STEP_MILLIS);
		}
		this.events.record(Event.ENTRY_STOPPED, this.settings.host(), this.inFlight);
		close();
	}

	@Override
	public void close() {
		this.stopping = true;
		this.callerChannel.close().syncUninterruptibly();
		this.peerChannel.close().syncUninterruptibly();
		this.operators.close();
		this.platform.close();
		this.decisions.close();
		this.callerLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.peerLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.platformClient.shutdownNow();
	}

	private void registerHandlers() {
		this.router.on(Message.Heartbeat.class, this::heartbeatHeard);
		this.router.on(Message.ConfigurationQuery.class, this::configurationQueried);
		this.router.on(Message.ConfigurationPush.class,
				(peer, push) -> this.configuration.offer(push.revision(), push.document(), peer.host()));
	}

	private void heartbeatHeard(Peer peer, Message.Heartbeat heartbeat) {
		if (this.members.heard(peer, heartbeat, System.nanoTime())) {
			this.events.record(Event.PEER_HEARD, peer.host(), peer.incarnation());
		}
		if (heartbeat.revision() > this.configuration.revision()) {
			this.network.send(peer.host(), new Message.ConfigurationQuery(this.configuration.revision()));
		}
	}

	private void configurationQueried(Peer peer, Message.ConfigurationQuery query) {
		if (query.revision() < this.configuration.revision()) {
			this.network.send(peer.host(), this.configuration.push());
		}
	}

	private Executor executor() {
		return (command) -> this.decisions.offer(command);
	}

	private void inForce(RoutingTable table, Message.ConfigurationPush push) {
		this.steering.configure(table, System.nanoTime());
		this.metrics.revision(table.revision());
		this.network.dial(peerAddresses(table));
		table.configuration()
			.entryHosts()
			.stream()
			.map(EntryHost::name)
			.filter((name) -> !name.equals(this.self.host()))
			.forEach((name) -> this.network.send(name, push));
		publishDirectory();
	}

	private Collection<InetSocketAddress> peerAddresses(RoutingTable table) {
		Stream<InetSocketAddress> configured = table.configuration()
			.entryHosts()
			.stream()
			.filter((host) -> !host.name().equals(this.self.host()))
			.map((host) -> SettingSource.parseAddress("peers", host.peerAddress()));
		return Stream.concat(configured, this.settings.peers().stream()).distinct().toList();
	}

	private void storeHeard(Store.Entry entry) {
		this.storeHeardAt = System.nanoTime();
		if (entry != null) {
			this.configuration.offer(entry.revision(), entry.value(), "the store");
		}
	}

	private void tick() {
		long now = System.nanoTime();
		this.steering.tick(now);
		this.inFlight = this.steering.inFlight();
		if (this.configuration.table() != null && now - this.nextDirectory >= 0) {
			this.nextDirectory = now + DIRECTORY_NANOS;
			publishDirectory();
		}
		if (now - this.nextHeartbeat >= 0) {
			this.nextHeartbeat = now + TimeUnit.MILLISECONDS.toNanos(this.settings.heartbeatMillis());
			this.network.sendOnEveryConnection(heartbeat(now));
		}
	}

	private Message.Heartbeat heartbeat(long now) {
		long storeAge = TimeUnit.NANOSECONDS.toMillis(now - this.storeHeardAt);
		return new Message.Heartbeat(++this.sequence, 0, this.configuration.revision(), storeAge, this.leaving,
				this.inFlight);
	}

	private void publishDirectory() {
		RoutingTable table = this.configuration.table();
		EntryHostDirectory.HeardHost own = new EntryHostDirectory.HeardHost(this.self.host(), this.self.incarnation(),
				this.inFlight, this.leaving);
		List<EntryHostDirectory.HeardHost> hosts = EntryHostDirectory.heardHosts(table.configuration(), own,
				this.members.heard(System.nanoTime()));
		this.directory = EntryHostDirectory.of(table, hosts, table.region(this.settings.dataCentre()),
				this.settings.lookUpTtlMillis(), (client) -> "");
	}

	private String status() {
		long storeAge = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.storeHeardAt);
		return "{\"host\":\"" + this.self.host() + "\",\"incarnation\":\"" + this.self.incarnation()
				+ "\",\"revision\":" + this.configuration.revision() + ",\"ready\":" + (this.directory != null)
				+ ",\"leaving\":" + this.leaving + ",\"inFlight\":" + this.inFlight + ",\"storeAgeMillis\":" + storeAge
				+ "}\n";
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static EventLoopGroup loops(String name, int count) {
		return new MultiThreadIoEventLoopGroup(count, threads(name), NioIoHandler.newFactory());
	}

	private static ThreadFactory threads(String name) {
		return (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		};
	}

	/**
	 * Hands what peers send to the decisions' thread.
	 */
	private final class DecidingListener implements PeerListener {

		@Override
		public void heard(Peer peer, Message message) {
			EntryDaemon.this.decisions.offer(() -> EntryDaemon.this.router.route(peer, message));
		}

		@Override
		public void lost(Peer peer, String reason) {
			EntryDaemon.this.decisions.offer(() -> EntryDaemon.this.members.lost(peer));
			EntryDaemon.this.events.record(Event.PEER_LOST, peer.host(), reason);
		}

	}

}
