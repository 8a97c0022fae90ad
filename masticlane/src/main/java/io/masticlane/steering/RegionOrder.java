package io.masticlane.steering;

import java.util.Comparator;
import java.util.List;

import io.masticlane.backend.Balancer;
import io.masticlane.limit.Limits;
import io.masticlane.route.RoutingTable;

/**
 * Chooses between regions.
 */
public interface RegionOrder {

	/**
	 * Takes a configuration into account.
	 * @param table the routing table of the configuration
	 */
	void configure(RoutingTable table);

	/**
	 * Returns the regions for an attempt, in the order of preference.
	 * @param service the name of the service
	 * @param now the present in nanoseconds
	 * @return the regions
	 */
	List<Balancer.Candidate> order(String service, long now);

	/**
	 * Tells whether a region has capacity for an attempt, and takes it.
	 * @param region the name of the region
	 * @param now the present in nanoseconds
	 * @return whether the attempt may go to the region
	 */
	boolean tryAcquireCapacity(String region, long now);

	/**
	 * Takes the own region first, then the others from near to far, each within its
	 * fleet-wide capacity.
	 */
	final class ClosestFirst implements RegionOrder {

		private static final double NANOS_PER_MILLI = 1e6;

		private final String dataCentre;

		private final Limits limits;

		private List<Balancer.Candidate> order = List.of();

		/**
		 * Creates a new order.
		 * @param dataCentre the data centre of this entry host
		 * @param limits the fleet-wide limits, which hold the capacity of each region
		 */
		public ClosestFirst(String dataCentre, Limits limits) {
			this.dataCentre = dataCentre;
			this.limits = limits;
		}

		@Override
		public void configure(RoutingTable table) {
			String own = table.region(this.dataCentre);
			this.order = table.configuration()
				.regions()
				.stream()
				.map((region) -> new Balancer.Candidate(region.name(),
						(long) (table.roundTripMillis(own, region.name()) * NANOS_PER_MILLI)))
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
