package io.masticlane.steering;

import java.util.Comparator;
import java.util.List;

import io.masticlane.backend.Balancer;
import io.masticlane.limit.Limits;
import io.masticlane.route.RoutingTable;

/**
 * Chooses the regions for an attempt.
 */
public interface RegionOrder {

	/**
	 * Applies a configuration.
	 * @param table the routing table of the configuration
	 */
	void configure(RoutingTable table);

	/**
	 * Returns the candidate regions for an attempt in order of preference.
	 * @param service the name of the service
	 * @param now the current time in nanoseconds
	 * @return the candidate regions
	 */
	List<Balancer.Candidate> order(String service, long now);

	/**
	 * Acquires capacity of a region for an attempt, if it has any left.
	 * @param region the name of the region
	 * @param now the current time in nanoseconds
	 * @return whether the attempt may go to the region
	 */
	boolean tryAcquireCapacity(String region, long now);

	/**
	 * Prefers the local region, then the others by proximity, each within its fleet-wide
	 * capacity.
	 */
	final class ClosestFirst implements RegionOrder {

		private static final double NANOS_PER_MILLI = 1e6;

		private final String dataCentre;

		private final Limits limits;

		private List<Balancer.Candidate> order = List.of();

		/**
		 * Creates a new region order.
		 * @param dataCentre the data centre of this entry host
		 * @param limits the fleet-wide limits, which include the capacity of each region
		 */
		public ClosestFirst(String dataCentre, Limits limits) {
			this.dataCentre = dataCentre;
			this.limits = limits;
		}

		@Override
		public void configure(RoutingTable table) {
			String local = table.region(this.dataCentre);
			this.order = table.configuration()
				.regions()
				.stream()
				.map((region) -> new Balancer.Candidate(region.name(),
						(long) (table.roundTripMillis(local, region.name()) * NANOS_PER_MILLI)))
				.sorted(Comparator.comparingLong(Balancer.Candidate::roundTripNanos)
					.thenComparing(Balancer.Candidate::region))
				.toList();
		}

		@Override
		public List<Balancer.Candidate> order(String service, long now) {
			return this.order;
		}

		@Override
		public boolean tryAcquireCapacity(String region, long now) {
			return this.limits.tryAcquire(Limits.regionIdentifier(region), 1, now);
		}

	}

}
