package io.masticlane.steering;

import java.util.Comparator;
import java.util.List;

import io.masticlane.configuration.Region;
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
	List<String> order(String service, long now);

	/**
	 * Tells whether a region has capacity for an attempt, and takes it.
	 * @param region the name of the region
	 * @param now the present in nanoseconds
	 * @return whether the attempt may go to the region
	 */
	boolean admits(String region, long now);

	/**
	 * Takes the own region first, then the others from near to far.
	 */
	final class NearestFirst implements RegionOrder {

		private final String dataCentre;

		private List<String> order = List.of();

		/**
		 * Creates a new order.
		 * @param dataCentre the data centre of this entry host
		 */
		public NearestFirst(String dataCentre) {
			this.dataCentre = dataCentre;
		}

		@Override
		public void configure(RoutingTable table) {
			String own = table.region(this.dataCentre);
			this.order = table.configuration()
				.regions()
				.stream()
				.map(Region::name)
				.sorted(Comparator.comparingDouble((String region) -> table.distance(own, region))
					.thenComparing(Comparator.naturalOrder()))
				.toList();
		}

		@Override
		public List<String> order(String service, long now) {
			return this.order;
		}

		@Override
		public boolean admits(String region, long now) {
			return true;
		}

	}

}
