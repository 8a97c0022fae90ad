package io.masticlane.configuration;

/**
 * A planned move of a service's traffic from one region to another.
 *
 * @param name the name of the move
 * @param service the service whose traffic moves
 * @param fromRegion the region that traffic leaves
 * @param toRegion the region that traffic goes to
 * @param startEpochSeconds the start in seconds since 1970 UTC
 * @param durationSeconds the time over which the moved part grows from nothing to all
 * @param requestsPerSecondCap the most requests per second that are moved, fleet-wide
 */
public record PlannedMove(String name, String service, String fromRegion, String toRegion, long startEpochSeconds,
		long durationSeconds, double requestsPerSecondCap) {

	/**
	 * Creates a new planned move of a service's traffic.
	 * @param name the name of the move
	 * @param service the service whose traffic moves
	 * @param fromRegion the region that traffic leaves
	 * @param toRegion the region that traffic goes to
	 * @param startEpochSeconds the start in seconds since 1970 UTC
	 * @param durationSeconds the time over which the moved part grows from nothing to all
	 * @param requestsPerSecondCap the most requests per second that are moved, fleet-wide
	 */
	public PlannedMove {
		Check.name("plannedMoves.name", name);
		Check.name("plannedMoves.service", service);
		Check.name("plannedMoves.fromRegion", fromRegion);
		Check.name("plannedMoves.toRegion", toRegion);
		Check.positive("plannedMoves.durationSeconds", durationSeconds);
		Check.positive("plannedMoves.requestsPerSecondCap", requestsPerSecondCap);
	}

}
