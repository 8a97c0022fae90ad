package io.masticlane.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
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
 * Turns the items of the store, and what other gateways tell of them, into what this
 * gateway believes.
 */
final class GatewayView implements StoreFollower.Listener {

	private static final String FROM_STORE = "store";

	/**
	 * How long the servers of a data centre count as cold after its evacuation ended,
	 * unless their next entry tells, in milliseconds.
	 */
	private static final long COLD_AFTER_EVACUATION_MILLIS = 3_000;

	private final GatewayContext traffic;

	private final GatewayFleet fleet;

	private final String self;

	private final UnaryOperator<String> regions;

	private final EventLog events;

	private final ServerRegistry registry = new ServerRegistry(this::serverChanged, this::serverGone);

	private final Consumer<List<Gateway>> membersChanged;

	private Set<String> evacuated = Set.of();

	private byte[] planDocument = new byte[0];

	private boolean listed;

	GatewayView(GatewayContext traffic, GatewayFleet fleet, String self, UnaryOperator<String> regions,
			Consumer<List<Gateway>> membersChanged) {
		this.traffic = traffic;
		this.fleet = fleet;
		this.self = self;
		this.regions = regions;
		this.events = traffic.events();
		this.membersChanged = membersChanged;
	}

	@Override
	public void itemsReplaced(List<SharedState.Item> items) {
		long now = System.nanoTime();
		Set<String> present = new HashSet<>();
		items.forEach((item) -> present.add(item.key()));
		this.registry.entriesReplaced(items.stream()
			.flatMap((item) -> server(this.traffic.dialect().key(item.key()), item).stream())
			.toList(), now);
		updateEvacuations(items.stream()
			.map((item) -> this.traffic.dialect().key(item.key()))
			.filter((key) -> key.kind() == Dialect.StoreKey.Kind.EVACUATION)
			.map(Dialect.StoreKey::name)
			.toList(), FROM_STORE, -1);
		this.fleet.others()
			.stream()
			.filter((member) -> !present.contains(GatewayEntry.key(member.host())))
			.forEach((member) -> memberGone(member.host()));
		items.forEach((item) -> {
			GatewayEntry.host(item.key()).ifPresent((host) -> member(host, item));
			if (this.traffic.dialect().key(item.key()).kind() == Dialect.StoreKey.Kind.PLAN) {
				item.value().ifPresent((value) -> updatePlan(value, FROM_STORE));
			}
		});
		this.listed = true;
	}

	@Override
	public void itemChanged(SharedState.Item item) {
		Dialect.StoreKey key = this.traffic.dialect().key(item.key());
		switch (key.kind()) {
			case PLAN -> item.value().ifPresent((value) -> updatePlan(value, FROM_STORE));
			case EVACUATION -> {
				Set<String> next = new HashSet<>(this.evacuated);
				if (item.value().isPresent()) {
					next.add(key.name());
				}
				else {
					next.remove(key.name());
				}
				updateEvacuations(next, FROM_STORE, -1);
			}
			case SERVER -> server(key, item).ifPresentOrElse(this.registry::entryWritten,
					() -> this.registry.entryDeleted(key.name(), System.nanoTime()));
			case OTHER -> GatewayEntry.host(item.key()).ifPresent((host) -> member(host, item));
		}
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
	public void callCompleted(boolean answered) {
		this.traffic.metrics().storeCall(answered);
	}

	/**
	 * Takes a plan if it is newer than the one in force.
	 * @param document the document of the operators
	 * @param source where the document was heard
	 */
	void updatePlan(byte[] document, String source) {
		try {
			TrafficPlan heard = this.traffic.dialect().plan(document);
			long former = this.traffic.plan().version();
			if (heard.version() > former) {
				this.planDocument = document;
				this.traffic.plan(heard);
				this.events.record(Event.PLAN_IN_FORCE, heard.version(), former, source);
			}
		}
		catch (IllegalArgumentException ex) {
			this.events.record(Event.DOCUMENT_REJECTED, "plan from " + source, ex.getMessage());
		}
	}

	/**
	 * Replaces the evacuated data centres.
	 * @param dataCentres the evacuated data centres
	 * @param source where they were heard
	 * @param position the position of the store at that time, or -1
	 */
	void updateEvacuations(Iterable<String> dataCentres, String source, long position) {
		Set<String> next = new HashSet<>();
		dataCentres.forEach(next::add);
		if (next.equals(this.evacuated)) {
			return;
		}
		long now = System.nanoTime();
		this.traffic.placement()
			.servers()
			.stream()
			.filter((server) -> this.evacuated.contains(server.entry().dataCentre())
					&& !next.contains(server.entry().dataCentre()))
			.forEach((server) -> server.markCold(COLD_AFTER_EVACUATION_MILLIS, now));
		this.evacuated = Set.copyOf(next);
		this.traffic.placement().setEvacuatedDataCentres(next);
		this.events.record(Event.EVACUATION_CHANGED, String.join(",", next), source, position);
	}

	/**
	 * Removes what was only kept for a while.
	 * @param now the present in nanoseconds
	 */
	void expire(long now) {
		this.registry.expire(now);
	}

	/**
	 * Returns the evacuated data centres.
	 * @return the evacuated data centres
	 */
	Set<String> evacuatedDataCentres() {
		return this.evacuated;
	}

	/**
	 * Returns the document of the plan in force.
	 * @return the document, empty if there is none
	 */
	byte[] planDocument() {
		return this.planDocument;
	}

	/**
	 * Returns whether the store's items were read once.
	 * @return whether the store's items were read once
	 */
	boolean isLoaded() {
		return this.listed;
	}

	private Optional<RegisteredServer> server(Dialect.StoreKey key, SharedState.Item item) {
		if (key.kind() != Dialect.StoreKey.Kind.SERVER || item.value().isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(this.traffic.dialect().server(key.name(), item.value().get()));
		}
		catch (IllegalArgumentException ex) {
			this.events.record(Event.DOCUMENT_REJECTED, item.key(), ex.getMessage());
			return Optional.empty();
		}
	}

	private void serverChanged(RegisteredServer former, RegisteredServer server) {
		long now = System.nanoTime();
		boolean moved = former != null && !(former.service().equals(server.service())
				&& former.address().equals(server.address()) && former.dataCentre().equals(server.dataCentre()));
		if (moved) {
			serverGone(former);
		}
		if (former == null || moved) {
			this.traffic.placement().add(new ServerState(server, this.regions.apply(server.dataCentre()), now));
		}
		else {
			this.traffic.placement()
				.server(server.service(), server.id())
				.ifPresent((state) -> state.entry(server, now));
		}
		if (former == null || moved || former.leaving() != server.leaving() || former.startedAt() != server.startedAt()
				|| (former.coldMillis() > 0) != (server.coldMillis() > 0)) {
			this.events.record(Event.SERVER_CHANGED, server.id(), server.service(), server.dataCentre(),
					server.leaving() ? "leaving" : "ready", server.coldMillis(), server.sequence());
		}
	}

	private void serverGone(RegisteredServer server) {
		this.traffic.placement().remove(server.service(), server.id());
		this.traffic.connections().closeIdle(server.address());
		this.events.record(Event.SERVER_CHANGED, server.id(), server.service(), server.dataCentre(), "gone",
				server.coldMillis(), server.sequence());
	}

	private void member(String host, SharedState.Item item) {
		if (host.equals(this.self)) {
			return;
		}
		if (item.value().isEmpty()) {
			memberGone(host);
			return;
		}
		try {
			Gateway gateway = GatewayEntry.decode(item.value().get());
			Optional<Gateway> former = this.fleet.member(host);
			this.fleet.memberUpdated(gateway, System.nanoTime());
			if (!former.equals(Optional.of(gateway))) {
				this.events.record(Event.MEMBER_CHANGED, host, gateway.leaving() ? "leaving" : "registered",
						gateway.incarnation(), this.fleet.size());
				this.membersChanged.accept(this.fleet.others());
			}
		}
		catch (IllegalArgumentException ex) {
			this.events.record(Event.DOCUMENT_REJECTED, item.key(), ex.getMessage());
		}
	}

	private void memberGone(String host) {
		this.fleet.member(host).ifPresent((gateway) -> {
			this.fleet.memberRemoved(host);
			this.events.record(Event.MEMBER_CHANGED, host, "gone", gateway.incarnation(), this.fleet.size());
			this.membersChanged.accept(this.fleet.others());
		});
	}

}
