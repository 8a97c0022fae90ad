package io.masticlane.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.masticlane.backend.SlotBalancer;
import io.masticlane.caller.CallerServer;
import io.masticlane.caller.EntryServices;
import io.masticlane.configuration.EntryHost;
import io.masticlane.duty.Duty;
import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.membership.EntryHostDirectory;
import io.masticlane.membership.HeartbeatEchoes;
import io.masticlane.membership.KeyFreshness;
import io.masticlane.membership.Member;
import io.masticlane.membership.Members;
import io.masticlane.message.Message;
import io.masticlane.operation.OperationLedger;
import io.masticlane.operation.OwnedOperations;
import io.masticlane.operation.StoreOperations;
import io.masticlane.operator.BurnDocument;
import io.masticlane.operator.Metrics;
import io.masticlane.operator.OperatorServer;
import io.masticlane.operator.StatusDocument;
import io.masticlane.peer.MessageRouter;
import io.masticlane.peer.Peer;
import io.masticlane.peer.PeerListener;
import io.masticlane.peer.PeerNetwork;
import io.masticlane.route.RoutingTable;
import io.masticlane.setting.EntrySettings;
import io.masticlane.setting.SettingSource;
import io.masticlane.steering.RegionOrder;
import io.masticlane.steering.Steering;
import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.EtcdStore;
import io.masticlane.store.Store;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * The daemon of an entry host. Each duty has its own thread; threads communicate through
 * bounded ring buffers.
 */
public final class EntryDaemon implements AutoCloseable {

	private static final int CALLER_THREADS = 2;

	private static final int DECISIONS_QUEUE_CAPACITY = 65_536;

	private static final int PLATFORM_QUEUE_CAPACITY = 1_024;

	private static final long PLATFORM_TICK_MILLIS = 250;

	/**
	 * The time after the start during which readiness waits for shares.
	 */
	private static final long SHARES_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long DECISIONS_TICK_MILLIS = 10;

	private static final long DIRECTORY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final OperationLedger.Bounds OPERATION_BOUNDS = new OperationLedger.Bounds(262_144, 65_536,
			16 * 1024 * 1024);

	private final EntrySettings settings;

	private final EventLog events;

	private final Peer self;

	private final Metrics metrics = new Metrics();

	private final EventLoopGroup callerLoops = eventLoops("callers", CALLER_THREADS);

	private final EventLoopGroup peerLoops = eventLoops("peers", 1);

	private final ExecutorService platformClient = Executors.newSingleThreadExecutor(threadFactory("platform-client"));

	private final Members members;

	private final ConfigurationState configuration;

	private final PeerNetwork network;

	private final MessageRouter router = new MessageRouter();

	private final FleetLimits fleetLimits;

	private final OperationLedger ledger;

	private final OwnedOperations operations;

	private final Steering steering;

	private final Duty decisions;

	private final Duty platform;

	private final StoreWatch watch;

	private final ConfigurationFetch fetch = new ConfigurationFetch();

	private final OperatorServer operators;

	private final CallerServer callers;

	private final Channel callerChannel;

	private final Channel peerChannel;

	private volatile EntryHostDirectory directory;

	private volatile WatchRole watchRole = WatchRole.STARTING;

	private volatile List<StatusDocument.PeerStatus> peerStatuses = List.of();

	private final long startedAt = System.nanoTime();

	private volatile boolean leaving;

	private volatile LongPredicate admission = (deadline) -> true;

	private volatile boolean stopping;

	private volatile int inFlight;

	private volatile long arrivals;

	private final KeyFreshness keyFreshness;

	private final HeartbeatEchoes echoes = new HeartbeatEchoes();

	private boolean keysFresh;

	private StoreRead lastRead = new StoreRead(0, 0);

	private long nextHeartbeatAt = System.nanoTime();

	private long nextDirectoryAt = System.nanoTime();

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
		this.keyFreshness = new KeyFreshness(settings.staleMillis(), System.nanoTime());
		this.members = new Members(settings.silenceMillis());
		this.configuration = new ConfigurationState(events, this::offerToPlatform, this::offerToDecisions,
				this::configurationInForce);
		Store store = new EtcdStore(settings.storeAddress(), Duration.ofMillis(settings.storeTimeoutMillis()),
				this.platformClient);
		this.network = new PeerNetwork(this.peerLoops, this.self, settings.silenceMillis(), new DecisionsPeerListener(),
				events);
		this.fleetLimits = new FleetLimits(this.self, this.members, store, settings.storePrefix(), decisionsExecutor(),
				this.network::send, events);
		this.network.register(this.metrics.registry());
		this.ledger = new OperationLedger(this.self.incarnation(), OPERATION_BOUNDS);
		this.operations = new OwnedOperations(this.self.incarnation(), this.ledger, new PeerOwners(),
				new StoreOperations(store, settings.storePrefix(), this.self.incarnation(), decisionsExecutor()),
				System.nanoTime());
		this.steering = new Steering(this.fleetLimits.limits(), this.operations, new SlotBalancer(settings.host()),
				new RegionOrder.ClosestFirst(settings.dataCentre(), this.fleetLimits.limits()));
		registerHandlers();
		this.fleetLimits.register(this.router);
		EntryServices services = new EntryServices(this.steering, this::offerToDecisions, this::servedTable,
				(client) -> this.directory.response(client), () -> this.leaving,
				() -> !this.keyFreshness.isFresh(System.nanoTime()), (deadline) -> this.admission.test(deadline),
				() -> this.stopping, this.metrics);
		this.callers = new CallerServer(this.callerLoops, services, settings.maximumBodyBytes());
		this.decisions = new Duty("decisions", DECISIONS_QUEUE_CAPACITY, DECISIONS_TICK_MILLIS, this::tick, events);
		this.watch = new StoreWatch(store, settings.storePrefix() + ConfigurationEnvelope.KEY, () -> this.watchRole,
				this.configuration::processedRevision, new DecisionsStoreListener(), events);
		this.platform = new Duty("platform", PLATFORM_QUEUE_CAPACITY, PLATFORM_TICK_MILLIS, this.watch::tick, events);
		this.peerChannel = this.network.listen(settings.peerAddress());
		this.network.dial(settings.peers());
		this.callerChannel = this.callers.listen(settings.callerAddress());
		this.operators = new OperatorServer(settings.operatorAddress(), this.metrics, this::ready, this::status,
				this::burn);
		events.record(Event.ENTRY_STARTED, settings.host(), this.self.incarnation());
	}

	/**
	 * Drains and closes this daemon: steers callers away, serves requests until cached
	 * look-ups have expired and no more requests arrive, and closes when no request is in
	 * flight. Requests that would outlast the stop are refused.
	 */
	public void drain() {
		PlannedStop stop = new PlannedStop(Duration.ofMillis(this.settings.drainMillis()),
				Duration.ofMillis(this.settings.lookUpTtlMillis() + this.settings.heartbeatMillis()));
		this.admission = stop::admits;
		this.leaving = true;
		this.events.record(Event.ENTRY_STOPPING, this.settings.host(), this.inFlight);
		this.decisions.offer(this::announceLeaving);
		stop.run(() -> this.arrivals, () -> this.inFlight, this::closeIdleCallers);
		this.events.record(Event.ENTRY_STOPPED, this.settings.host(), this.inFlight);
		this.callers.endInFlight();
		stop.awaitDelivery(this::closeIdleCallers);
		close();
	}

	@Override
	public void close() {
		this.stopping = true;
		this.callerChannel.close().syncUninterruptibly();
		this.peerChannel.close().syncUninterruptibly();
		this.operators.close();
		this.platform.close();
		this.watch.close();
		this.decisions.close();
		this.callerLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.peerLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		this.platformClient.shutdownNow();
	}

	private void announceLeaving() {
		sendHeartbeats(System.nanoTime());
		if (this.configuration.table() != null) {
			publishDirectory();
		}
	}

	private int closeIdleCallers() {
		this.callerChannel.close();
		return this.callers.closeIdle();
	}

	private void registerHandlers() {
		this.router.on(Message.BackendLeaving.class,
				(peer, notice) -> this.steering.leavingReceived(notice.server(), System.nanoTime()));
		this.router.on(Message.OperationClaim.class, this.operations::claimReceived);
		this.router.on(Message.OperationRelease.class, this.operations::releaseReceived);
		this.router.on(Message.OperationVerdict.class,
				(peer, verdict) -> this.operations.verdictReceived(peer, verdict, System.nanoTime()));
		this.router.on(Message.Heartbeat.class, this::heartbeatReceived);
		this.router.on(Message.ConfigurationQuery.class, this::configurationQueried);
		this.router.on(Message.ConfigurationPush.class,
				(peer, push) -> this.configuration.offer(push.revision(), push.document(), peer.host()));
	}

	private void heartbeatReceived(Peer peer, Message.Heartbeat heartbeat) {
		if (this.members.receive(peer, heartbeat, System.nanoTime())) {
			this.events.record(Event.PEER_HEARD, peer.host(), peer.incarnation());
		}
		this.fleetLimits.heartbeatReceived(peer, heartbeat, this.echoes.sentNotBefore(heartbeat.echo()),
				System.nanoTime());
		this.echoes.receive(peer, heartbeat.sequence());
		this.echoes.sentNotBefore(heartbeat.echo())
			.ifPresent((notBefore) -> storeContactReported(peer, heartbeat, notBefore));
		if (this.configuration.shouldFetch(heartbeat.revision())
				&& this.fetch.shouldAsk(peer.host(), heartbeat.revision(), System.nanoTime())) {
			this.network.send(peer.host(), new Message.ConfigurationQuery(this.configuration.revision()));
		}
	}

	private void storeContactReported(Peer peer, Message.Heartbeat heartbeat, long sentNotBefore) {
		if (!this.configuration.shouldFetch(heartbeat.revision())) {
			this.keyFreshness.peerReported(peer.host(), sentNotBefore, heartbeat.storeAgeMillis());
		}
	}

	private void configurationQueried(Peer peer, Message.ConfigurationQuery query) {
		if (query.revision() < this.configuration.revision()) {
			this.network.send(peer.host(), this.configuration.push());
		}
	}

	private RoutingTable servedTable() {
		return (this.directory != null) ? this.configuration.table() : null;
	}

	private boolean offerToPlatform(Runnable command) {
		return this.platform.offer(command);
	}

	private boolean offerToDecisions(Runnable command) {
		return this.decisions.offer(command);
	}

	private Executor decisionsExecutor() {
		return (command) -> this.decisions.offer(command);
	}

	private void configurationInForce(RoutingTable table, Message.ConfigurationPush push) {
		this.steering.configure(table, System.nanoTime());
		this.fleetLimits.configure(table.configuration(), table.revision(), System.nanoTime());
		this.metrics.setRevision(table.revision());
		this.metrics.burn().configure(table.configuration().objectives());
		this.keyFreshness
			.configure(table.configuration().entryHosts().stream().map(EntryHost::name).collect(Collectors.toSet()));
		this.callers.configurationChanged(table);
		this.network.dial(peerAddresses(table));
		if (this.lastRead.revision() == table.revision()) {
			this.keyFreshness.storeResponded(this.lastRead.requestedAt());
		}
		updateFreshness(System.nanoTime());
		sendHeartbeats(System.nanoTime());
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

	private void tick() {
		long now = System.nanoTime();
		this.steering.tick(now);
		this.inFlight = this.steering.inFlight();
		this.arrivals = this.steering.arrivals();
		this.operations.tick(now);
		if (this.configuration.table() != null && now - this.nextDirectoryAt >= 0) {
			this.nextDirectoryAt = now + DIRECTORY_INTERVAL_NANOS;
			this.peerStatuses = peerStatuses(now);
			publishDirectory();
		}
		if (this.configuration.table() != null) {
			this.fleetLimits.tick(now);
		}
		updateFreshness(now);
		this.watchRole = WatchRole.of(this.configuration.table(), this.self.host(),
				this.members.responsiveMembers(now).stream().map(Member::host).toList(),
				this.keyFreshness.storeAgeMillis(now));
		if (now - this.nextHeartbeatAt >= 0) {
			sendHeartbeats(now);
			this.steering.leavingServers(now)
				.forEach((server) -> this.network.sendOnEveryConnection((peer) -> new Message.BackendLeaving(server)));
		}
	}

	private void updateFreshness(long now) {
		this.keyFreshness.update(this.self.host(), now);
		boolean fresh = this.keyFreshness.isFresh(now);
		if (fresh != this.keysFresh && this.configuration.table() != null) {
			this.keysFresh = fresh;
			this.events.record(fresh ? Event.KEYS_FRESH : Event.KEYS_STALE);
			this.callers.configurationChanged(this.configuration.table());
		}
	}

	private void sendHeartbeats(long now) {
		this.nextHeartbeatAt = now + TimeUnit.MILLISECONDS.toNanos(this.settings.heartbeatMillis());
		long sequence = this.echoes.nextSequence(now);
		this.network.sendOnEveryConnection((peer) -> heartbeat(peer, sequence, now));
	}

	private Message.Heartbeat heartbeat(Peer peer, long sequence, long now) {
		return new Message.Heartbeat(sequence, this.echoes.echo(peer), this.configuration.revision(),
				this.keyFreshness.storeAgeMillis(now), this.leaving, this.inFlight, this.ledger.epoch(),
				this.fleetLimits.storeCallAgeMillis(now));
	}

	private void publishDirectory() {
		if (this.directory == null && !this.keysFresh) {
			return;
		}
		RoutingTable table = this.configuration.table();
		EntryHostDirectory.ResponsiveHost local = new EntryHostDirectory.ResponsiveHost(this.self.host(),
				this.self.incarnation(), this.inFlight, this.leaving, this.ledger.epoch());
		List<EntryHostDirectory.ResponsiveHost> hosts = EntryHostDirectory.responsiveHosts(table.configuration(), local,
				this.members.responsiveMembers(System.nanoTime()));
		EntryHostDirectory current = this.directory;
		if (current == null || !current.isRenderedFrom(table, hosts)) {
			this.directory = EntryHostDirectory.of(table, hosts, table.region(this.settings.dataCentre()),
					this.settings.lookUpTtlMillis());
		}
	}

	private boolean ready() {
		boolean awaitingShares = System.nanoTime() - this.startedAt < SHARES_WAIT_NANOS;
		boolean sharesSettled = !this.fleetLimits.heldShares().isEmpty() || !awaitingShares;
		return this.directory != null && !this.leaving && sharesSettled;
	}

	private StatusDocument status() {
		long now = System.nanoTime();
		return new StatusDocument(this.self.host(), this.self.incarnation(), this.configuration.revision(),
				this.directory != null, this.leaving, this.inFlight, this.keyFreshness.storeAgeMillis(now),
				this.fleetLimits.heldShares().size(), this.peerStatuses);
	}

	private BurnDocument burn() {
		RoutingTable table = this.configuration.table();
		String region = (table != null) ? table.region(this.settings.dataCentre()) : "";
		return this.metrics.burn().document(this.self.host(), region);
	}

	private List<StatusDocument.PeerStatus> peerStatuses(long now) {
		return this.members.responsiveMembers(now)
			.stream()
			.map((member) -> new StatusDocument.PeerStatus(member.host(), member.incarnation(),
					member.heartbeat().revision(), TimeUnit.NANOSECONDS.toMillis(now - member.receivedAt())))
			.toList();
	}

	private static EventLoopGroup eventLoops(String name, int count) {
		return new MultiThreadIoEventLoopGroup(count, threadFactory(name), NioIoHandler.newFactory());
	}

	private static ThreadFactory threadFactory(String name) {
		return (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		};
	}

	/**
	 * Forwards updates from the store to the decisions thread.
	 */
	private final class DecisionsStoreListener implements StoreWatch.Listener {

		@Override
		public void storeResponded(long requestedAt, boolean newRevision) {
			EntryDaemon.this.decisions.offer(() -> {
				if (!newRevision) {
					EntryDaemon.this.keyFreshness.storeResponded(requestedAt);
				}
			});
		}

		@Override
		public void configurationRead(Store.Entry entry, long requestedAt) {
			EntryDaemon.this.decisions
				.offer(() -> EntryDaemon.this.lastRead = new StoreRead(entry.revision(), requestedAt));
			configurationWritten(entry);
		}

		@Override
		public void configurationWritten(Store.Entry entry) {
			EntryDaemon.this.decisions
				.offer(() -> EntryDaemon.this.configuration.offer(entry.revision(), entry.value(), "the store"));
		}

	}

	/**
	 * Looks up and contacts the owners of operations among the members.
	 */
	private final class PeerOwners implements OwnedOperations.Owners {

		@Override
		public Optional<String> host(String incarnation, long now) {
			return EntryDaemon.this.members.host(incarnation, now);
		}

		@Override
		public boolean send(String host, Message message) {
			return EntryDaemon.this.network.send(host, message);
		}

	}

	/**
	 * Forwards messages from peers to the decisions thread.
	 */
	private final class DecisionsPeerListener implements PeerListener {

		@Override
		public void messageReceived(Peer peer, Message message) {
			EntryDaemon.this.decisions.offer(() -> EntryDaemon.this.router.route(peer, message));
		}

		@Override
		public void peerLost(Peer peer, String reason) {
			EntryDaemon.this.decisions.offer(() -> EntryDaemon.this.members.connectionLost(peer));
			EntryDaemon.this.events.record(Event.PEER_LOST, peer.host(), reason);
		}

	}

	/**
	 * A revision that was read from the store.
	 *
	 * @param revision the revision
	 * @param requestedAt the time of the request in nanoseconds
	 */
	private record StoreRead(long revision, long requestedAt) {
	}

}
