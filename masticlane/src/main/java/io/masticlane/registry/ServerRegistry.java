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
 * Follows the entries of backend servers, and tells an entry that lapsed while the store
 * was away from a departure.
 */
public final class ServerRegistry {

	/**
	 * How long after the store's return a lapsed entry may come back, in nanoseconds; two
	 * seconds by the platform, and some for the way.
	 */
	public static final long LAPSE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

	private final Map<String, RegisteredServer> servers = new HashMap<>();

	private final Set<String> lapsed = new HashSet<>();

	private final BiConsumer<RegisteredServer, RegisteredServer> changed;

	private final Consumer<RegisteredServer> gone;

	private long storeReturnedAt;

	private boolean storeReturned;

	/**
	 * Creates an empty registry.
	 * @param changed receives the former entry, or {@code null}, and the new one
	 * @param gone receives the last entry of a server that is gone
	 */
	public ServerRegistry(BiConsumer<RegisteredServer, RegisteredServer> changed, Consumer<RegisteredServer> gone) {
		this.changed = changed;
		this.gone = gone;
	}

	/**
	 * Records that the store answers again after an outage.
	 * @param now the present in nanoseconds
	 */
	public void storeRecovered(long now) {
		this.storeReturnedAt = now;
		this.storeReturned = true;
	}

	/**
	 * Records an entry as written.
	 * @param server the entry
	 */
	public void entryWritten(RegisteredServer server) {
		this.lapsed.remove(server.id());
		RegisteredServer former = this.servers.put(server.id(), server);
		if (!server.equals(former)) {
			this.changed.accept(former, server);
		}
	}

	/**
	 * Records that an entry was deleted or names no server any more.
	 * @param id the identifier of the server
	 * @param now the present in nanoseconds
	 */
	public void entryDeleted(String id, long now) {
		if (!this.servers.containsKey(id)) {
			return;
		}
		if (this.storeReturned && now - this.storeReturnedAt < LAPSE_GRACE_NANOS) {
			this.lapsed.add(id);
		}
		else {
			remove(id);
		}
	}

	/**
	 * Records all entries of the store; those that are missing are deleted.
	 * @param present the entries
	 * @param now the present in nanoseconds
	 */
	public void entriesReplaced(Collection<RegisteredServer> present, long now) {
		Set<String> missing = new HashSet<>(this.servers.keySet());
		present.forEach((server) -> {
			missing.remove(server.id());
			entryWritten(server);
		});
		missing.forEach((id) -> entryDeleted(id, now));
	}

	/**
	 * Removes the servers whose lapsed entries did not come back.
	 * @param now the present in nanoseconds
	 */
	public void expire(long now) {
		if (!this.lapsed.isEmpty() && now - this.storeReturnedAt >= LAPSE_GRACE_NANOS) {
			Set<String> overdue = Set.copyOf(this.lapsed);
			this.lapsed.clear();
			overdue.forEach(this::remove);
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
		RegisteredServer former = this.servers.remove(id);
		if (former != null) {
			this.gone.accept(former);
		}
	}

}
