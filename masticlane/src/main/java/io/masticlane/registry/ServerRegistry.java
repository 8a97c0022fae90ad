package io.masticlane.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Tracks the entries of backend servers, and distinguishes an entry whose lease expired
 * during an outage of the store from the departure of its server.
 */
public final class ServerRegistry {

	/**
	 * How long after the recovery of the store an expired entry may be written again, in
	 * nanoseconds: the two seconds of the platform and a margin for latency.
	 */
	public static final long LAPSE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

	private final Map<String, RegisteredServer> servers = new HashMap<>();

	private final Set<String> lapsed = new HashSet<>();

	private final BiConsumer<RegisteredServer, RegisteredServer> changed;

	private final Consumer<RegisteredServer> removed;

	private long storeRecoveredAt;

	private boolean hasRecovered;

	/**
	 * Creates an empty registry.
	 * @param changed receives the previous entry, or {@code null}, and the new one
	 * @param removed receives the last entry of a removed server
	 */
	public ServerRegistry(BiConsumer<RegisteredServer, RegisteredServer> changed, Consumer<RegisteredServer> removed) {
		this.changed = changed;
		this.removed = removed;
	}

	/**
	 * Records that the store responds again after an outage.
	 * @param now the current time in nanoseconds
	 */
	public void storeRecovered(long now) {
		this.storeRecoveredAt = now;
		this.hasRecovered = true;
	}

	/**
	 * Records a written entry.
	 * @param server the entry
	 */
	public void entryWritten(RegisteredServer server) {
		this.lapsed.remove(server.id());
		RegisteredServer previous = this.servers.put(server.id(), server);
		if (!server.equals(previous)) {
			this.changed.accept(previous, server);
		}
	}

	/**
	 * Records that a server wrote its entry again without a change.
	 * @param id the identifier of the server
	 */
	public void entryConfirmed(String id) {
		RegisteredServer server = this.servers.get(id);
		if (server != null) {
			this.lapsed.remove(id);
			this.changed.accept(server, server);
		}
	}

	/**
	 * Records that an entry was deleted or no longer describes a server.
	 * @param id the identifier of the server
	 * @param now the current time in nanoseconds
	 */
	public void entryDeleted(String id, long now) {
		if (!this.servers.containsKey(id)) {
			return;
		}
		if (this.hasRecovered && now - this.storeRecoveredAt < LAPSE_GRACE_NANOS) {
			this.lapsed.add(id);
		}
		else {
			remove(id);
		}
	}

	/**
	 * Records all entries of the store; missing entries count as deleted.
	 * @param entries the entries
	 * @param now the current time in nanoseconds
	 */
	public void entriesReplaced(Collection<RegisteredServer> entries, long now) {
		Set<String> missing = new HashSet<>(this.servers.keySet());
		entries.forEach((server) -> {
			missing.remove(server.id());
			entryWritten(server);
		});
		missing.forEach((id) -> entryDeleted(id, now));
	}

	/**
	 * Removes the servers whose expired entries were not written again in time.
	 * @param now the current time in nanoseconds
	 */
	public void expire(long now) {
		if (!this.lapsed.isEmpty() && now - this.storeRecoveredAt >= LAPSE_GRACE_NANOS) {
			Set<String> expired = Set.copyOf(this.lapsed);
			this.lapsed.clear();
			expired.forEach(this::remove);
		}
	}

	/**
	 * Returns the servers by identifier.
	 * @return the servers by identifier
	 */
	public Map<String, RegisteredServer> servers() {
		return Map.copyOf(this.servers);
	}

	private void remove(String id) {
		this.lapsed.remove(id);
		RegisteredServer previous = this.servers.remove(id);
		if (previous != null) {
			this.removed.accept(previous);
		}
	}

}
