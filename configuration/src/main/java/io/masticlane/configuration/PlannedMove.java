package io.masticlane.configuration;

/**
 * A planned move of a service's traffic from one region to another.
 *
 * @param name the name of the move
 * @param service the service whose traffic moves
 * @param fromRegion the region that the traffic moves away from
 * @param toRegion the region that the traffic moves to
 * @param startEpochSeconds the start time in seconds since the Unix epoch
 * @param durationSeconds the time over which the moved fraction grows from 0 to 1
 * @param requestsPerSecondCap the maximum rate of moved requests across all entry hosts
 */
public record PlannedMove(String name, String service, String fromRegion, String toRegion, long startEpochSeconds,
		long durationSeconds, double requestsPerSecondCap) {

	/**
	 * Creates a new planned move of a service's traffic.
	 * @param name the name of the move
	 * @param service the service whose traffic moves
	 * @param fromRegion the region that the traffic moves away from
	 * @param toRegion the region that the traffic moves to
	 * @param startEpochSeconds the start time in seconds since the Unix epoch
	 * @param durationSeconds the time over which the moved fraction grows from 0 to 1
	 * @param requestsPerSecondCap the maximum rate of moved requests across all entry
	 * hosts
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
