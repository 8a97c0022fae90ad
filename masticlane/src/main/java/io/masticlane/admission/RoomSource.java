package io.masticlane.admission;

/**
 * Tells what the servers of a service in a region can take.
 */
@FunctionalInterface
public interface RoomSource {

	/**
	 * Returns what the servers can take.
	 * @param service the name of the service
	 * @param region the name of the region
	 * @param now the current time in nanoseconds
	 * @return the room, or {@link Room#NONE} if there are no servers
	 */
	Room room(String service, String region, long now);

}
