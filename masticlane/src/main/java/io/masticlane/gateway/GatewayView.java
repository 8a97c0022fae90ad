package io.masticlane.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.UnaryOperator;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.fleet.Gateway;
import io.masticlane.fleet.GatewayEntry;
import io.masticlane.fleet.GatewayFleet;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.TrafficPlan;
import io.masticlane.registry.RegisteredServer;
import io.masticlane.registry.ServerRegistry;
import io.masticlane.store.SharedState;

/**
 * Maintains the view of a gateway from the items of the store and the reports of other
 * gateways.
 */
final class GatewayView implements StoreFollower.Listener {

	private static final String FROM_STORE = "store";

	/**
	 * How long the servers of a data centre count as cold after its evacuation ended,
	 * unless their next entry states a time, in milliseconds.
	 */
	private static final long COLD_AFTER_EVACUATION_MILLIS = 3_000;

	private final GatewayContext gateway;

	private final GatewayFleet fleet;

	private final String self;

	private final UnaryOperator<String> regions;

	private final EventLog events;

	private final ServerRegistry registry = new ServerRegistry(this::serverChanged, this::serverRemoved);

	private final Runnable membersChanged;

	private final LongConsumer ownEntryMissing;

	private final long entryDelayNanos;

	private Set<String> evacuatedDataCentres = Set.of();

	private final Map<String, String> rejections = new HashMap<>();

	private byte[] planDocument = new byte[0];

	private boolean loaded;

	GatewayView(GatewayContext gateway, GatewayFleet fleet, String self, UnaryOperator<String> regions,
			Runnable membersChanged, LongConsumer ownEntryMissing, long entryDelayMillis) {
		this.gateway = gateway;
		this.fleet = fleet;
		this.self = self;
		this.regions = regions;
		this.events = gateway.events();
		this.membersChanged = membersChanged;
		this.ownEntryMissing = ownEntryMissing;
		this.entryDelayNanos = TimeUnit.MILLISECONDS.toNanos(entryDelayMillis);
	}

	@Override
	public void itemsReplaced(StoreFollower.Snapshot snapshot) {
		long now = System.nanoTime();
		List<SharedState.Item> items = snapshot.items();
		this.gateway.metrics().storeRead(snapshot.reason());
		this.events.record(Event.STORE_READ, snapshot.reason(), snapshot.position(), snapshot.formerPosition(),
				items.size(), snapshot.detail());
		Set<String> presentKeys = new HashSet<>();
		items.forEach((item) -> presentKeys.add(item.key()));
		this.rejections.keySet().retainAll(presentKeys);
		if (snapshot.restored()) {
			// Servers that registered lately are missing until they write their entries
			// again.
			this.registry.storeRecovered(now);
		}
		this.registry.entriesReplaced(items.stream()
			.flatMap((item) -> parseServer(this.gateway.dialect().key(item.key()), item).stream())
			.toList(), now);
		updateEvacuations(items.stream()
			.map((item) -> this.gateway.dialect().key(item.key()))
			.filter((key) -> key.kind() == Dialect.StoreKey.Kind.EVACUATION)
			.map(Dialect.StoreKey::name)
			.toList(), FROM_STORE, -1);
		this.fleet.others()
			.stream()
			.filter((member) -> !presentKeys.contains(GatewayEntry.key(member.host())))
			.forEach((member) -> removeMember(member.host()));
		items.forEach((item) -> {
			GatewayEntry.host(item.key()).ifPresent((host) -> updateMember(host, item));
			if (this.gateway.dialect().key(item.key()).kind() == Dialect.StoreKey.Kind.PLAN) {
				item.value().ifPresent((value) -> updatePlan(value, FROM_STORE));
			}
		});
		if (!presentKeys.contains(GatewayEntry.key(this.self))) {
			this.ownEntryMissing.accept(snapshot.startedAt());
		}
		this.loaded = true;
		openIfReady();
	}

	@Override
	public void itemChanged(SharedState.Item item) {
		Dialect.StoreKey key = this.gateway.dialect().key(item.key());
		if (item.value().isEmpty()) {
			this.rejections.remove(item.key());
		}
		switch (key.kind()) {
			case PLAN -> item.value().ifPresent((value) -> updatePlan(value, FROM_STORE));
			case EVACUATION -> {
				Set<String> updated = new HashSet<>(this.evacuatedDataCentres);
				if (item.value().isPresent()) {
					updated.add(key.name());
				}
				else {
					updated.remove(key.name());
				}
				updateEvacuations(updated, FROM_STORE, -1);
			}
			case SERVER -> parseServer(key, item).ifPresentOrElse(this.registry::entryWritten,
					() -> this.registry.entryDeleted(key.name(), System.nanoTime()));
			case OTHER -> GatewayEntry.host(item.key()).ifPresent((host) -> updateMember(host, item));
		}
	}

	@Override
	public void positionReverted(long position, long former) {
		this.events.record(Event.STORE_POSITION_REVERTED, position, former);
	}

	@Override
	public void itemFailed(String key, RuntimeException reason) {
		reject(key, reason);
	}

	@Override
	public void storeLost(String reason) {
		this.events.record(Event.STORE_LOST, reason);
	}

	@Override
	public void storeRecovered() {
		this.events.record(Event.STORE_HEARD);
		this.registry.storeRecovered(System.nanoTime());
	}

	@Override
	public void callCompleted(boolean succeeded) {
		this.gateway.metrics().storeCallFinished(succeeded);
	}

	/**
	 * Applies a plan if it is newer than the current one.
	 * @param document the document that operators wrote
	 * @param source the store or the host that sent the document
	 */
	void updatePlan(byte[] document, String source) {
		try {
			TrafficPlan received = this.gateway.dialect().plan(document);
			long previous = this.gateway.plan().version();
			if (received.version() > previous) {
				this.planDocument = document;
				this.gateway.plan(received);
				this.events.record(Event.PLAN_IN_FORCE, received.version(), previous, source);
				openIfReady();
			}
		}
		catch (IllegalArgumentException ex) {
			reject("plan from " + source, ex);
		}
	}

	/**
	 * Replaces the evacuated data centres.
	 * @param dataCentres the evacuated data centres
	 * @param source the store or the host that reported them
	 * @param position the position of the store in the host's report, or -1 if the store
	 * is the source
	 */
	void updateEvacuations(Iterable<String> dataCentres, String source, long position) {
		Set<String> updated = new HashSet<>();
		dataCentres.forEach(updated::add);
		if (updated.equals(this.evacuatedDataCentres)) {
			return;
		}
		long now = System.nanoTime();
		this.gateway.placement()
			.servers()
			.stream()
			.filter((server) -> this.evacuatedDataCentres.contains(server.entry().dataCentre())
					&& !updated.contains(server.entry().dataCentre()))
			.forEach((server) -> server.markCold(COLD_AFTER_EVACUATION_MILLIS, now));
		this.evacuatedDataCentres = Set.copyOf(updated);
		this.gateway.placement().setEvacuatedDataCentres(updated);
		this.events.record(Event.EVACUATION_CHANGED, String.join(",", updated), source, position);
	}

	/**
	 * Records that a server wrote its entry again without a change.
	 * @param id the identifier of the server
	 */
	void serverConfirmed(String id) {
		this.registry.entryConfirmed(id);
	}

	/**
	 * Removes expired entries of backend servers.
	 * @param now the current time in nanoseconds
	 */
	void expire(long now) {
		this.registry.expire(now);
	}

	/**
	 * Returns the evacuated data centres.
	 * @return the evacuated data centres
	 */
	Set<String> evacuatedDataCentres() {
		return this.evacuatedDataCentres;
	}

	/**
	 * Returns the document of the current plan.
	 * @return the document, empty if there is none
	 */
	byte[] planDocument() {
		return this.planDocument;
	}

	/**
	 * Returns the number of documents that are rejected at present.
	 * @return the number of documents
	 */
	int rejectedDocuments() {
		return this.rejections.size();
	}

	/**
	 * Returns whether all items of the store were read at least once.
	 * @return whether all items of the store were read at least once
	 */
	boolean isLoaded() {
		return this.loaded;
	}

	private Optional<RegisteredServer> parseServer(Dialect.StoreKey key, SharedState.Item item) {
		if (key.kind() != Dialect.StoreKey.Kind.SERVER || item.value().isEmpty()) {
			return Optional.empty();
		}
		try {
			RegisteredServer server = this.gateway.dialect().server(key.name(), item.value().get());
			this.rejections.remove(item.key());
			return Optional.of(server);
		}
		catch (IllegalArgumentException ex) {
			reject(item.key(), ex);
			return Optional.empty();
		}
	}

	private void serverChanged(RegisteredServer previous, RegisteredServer server) {
		long now = System.nanoTime();
		boolean relocated = previous != null && !(previous.service().equals(server.service())
				&& previous.address().equals(server.address()) && previous.dataCentre().equals(server.dataCentre()));
		if (relocated) {
			serverRemoved(previous);
		}
		if (previous == null || relocated) {
			this.gateway.placement().add(new ServerState(server, this.regions.apply(server.dataCentre()), now));
		}
		else {
			this.gateway.placement()
				.server(server.service(), server.id())
				.ifPresent((state) -> state.entry(server, this.entryDelayNanos, now));
		}
		if (previous == null || relocated || previous.leaving() != server.leaving()
				|| previous.startedAt() != server.startedAt()
				|| (previous.coldMillis() > 0) != (server.coldMillis() > 0)) {
			this.events.record(Event.SERVER_CHANGED, server.id(), server.service(), server.dataCentre(),
					server.leaving() ? "leaving" : "ready", server.coldMillis(), server.sequence());
		}
	}

	private void serverRemoved(RegisteredServer server) {
		this.gateway.placement().remove(server.service(), server.id());
		this.gateway.connections().closeIdle(server.address());
		this.events.record(Event.SERVER_CHANGED, server.id(), server.service(), server.dataCentre(), "gone",
				server.coldMillis(), server.sequence());
	}

	private void updateMember(String host, SharedState.Item item) {
		if (host.equals(this.self)) {
			return;
		}
		if (item.value().isEmpty()) {
			removeMember(host);
			return;
		}
		try {
			Gateway member = GatewayEntry.decode(item.value().get());
			this.rejections.remove(item.key());
			Optional<Gateway> previous = this.fleet.member(host);
			this.fleet.memberUpdated(member, System.nanoTime());
			if (!previous.equals(Optional.of(member))) {
				this.events.record(Event.MEMBER_CHANGED, host, member.leaving() ? "leaving" : "registered",
						member.incarnation(), this.fleet.size());
				this.membersChanged.run();
			}
		}
		catch (IllegalArgumentException ex) {
			reject(item.key(), ex);
		}
	}

	private void openIfReady() {
		if (this.loaded && this.gateway.plan().version() != TrafficPlan.NO_VERSION) {
			this.gateway.startupQueue().open();
		}
	}

	/**
	 * Records the rejection of a document, once for each key and reason: its writer may
	 * repeat it with every heartbeat.
	 * @param key the key of the document
	 * @param reason the failure
	 */
	private void reject(String key, RuntimeException reason) {
		String text = (reason instanceof IllegalArgumentException) ? reason.getMessage() : reason.toString();
		if (!text.equals(this.rejections.put(key, text))) {
			this.events.record(Event.DOCUMENT_REJECTED, key, text);
		}
	}

	private void removeMember(String host) {
		this.fleet.member(host).ifPresent((member) -> {
			boolean lapsed = this.fleet.memberRemoved(host, System.nanoTime());
			this.events.record(Event.MEMBER_CHANGED, host, lapsed ? "lapsed" : "gone", member.incarnation(),
					this.fleet.size());
			this.membersChanged.run();
		});
	}

}
