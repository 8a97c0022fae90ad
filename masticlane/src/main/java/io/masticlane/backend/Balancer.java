package io.masticlane.backend;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

import io.masticlane.configuration.BackendServer;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.AttemptEnd;
import org.agrona.collections.Object2IntHashMap;

/**
 * Chooses a backend server for each attempt.
 */
public interface Balancer {

	/**
	 * Takes a configuration into account.
	 * @param table the routing table of the configuration
	 */
	void configure(RoutingTable table);

	/**
	 * Chooses a backend server and takes one of its slots.
	 * @param service the name of the service
	 * @param tried the names of backend servers that the request has tried
	 * @return the backend server, or nothing if none has a free slot
	 */
	Optional<BackendServer> choose(String service, Set<String> tried);

	/**
	 * Gives back the slot of an attempt.
	 * @param server the backend server
	 * @param end how the attempt ended
	 */
	void release(BackendServer server, AttemptEnd end);

	/**
	 * Prefers the own region, then the smallest part of slots in use.
	 */
	final class LeastLoaded implements Balancer {

		private final String dataCentre;

		private final Object2IntHashMap<String> inUse = new Object2IntHashMap<>(0);

		private RoutingTable table;

		/**
		 * Creates a new balancer.
		 * @param dataCentre the data centre of this entry host
		 */
		public LeastLoaded(String dataCentre) {
			this.dataCentre = dataCentre;
		}

		@Override
		public void configure(RoutingTable table) {
			this.table = table;
		}

		@Override
		public Optional<BackendServer> choose(String service, Set<String> tried) {
			Optional<BackendServer> chosen = this.table.backendServers(service)
				.stream()
				.filter((server) -> !server.leaving() && !tried.contains(server.name()))
				.filter((server) -> this.inUse.getValue(server.name()) < server.slots())
				.min(Comparator.comparing((BackendServer server) -> !local(server))
					.thenComparing((server) -> (double) this.inUse.getValue(server.name()) / server.slots()));
			chosen.ifPresent((server) -> this.inUse.put(server.name(), this.inUse.getValue(server.name()) + 1));
			return chosen;
		}

		@Override
		public void release(BackendServer server, AttemptEnd end) {
			int remaining = this.inUse.getValue(server.name()) - 1;
			if (remaining > 0) {
				this.inUse.put(server.name(), remaining);
			}
			else {
				this.inUse.remove(server.name());
			}
		}

		private boolean local(BackendServer server) {
			return this.table.region(server.dataCentre()).equals(this.table.region(this.dataCentre));
		}

	}

}
