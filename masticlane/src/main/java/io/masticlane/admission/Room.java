package io.masticlane.admission;

/**
 * What the servers of a service in a region can take, according to the responses that
 * reported their load recently. A gateway of a large fleet hears from a part of the
 * servers only, which stands for all of them.
 *
 * @param slots the slots of all servers, each counted by the speed of its machine
 * @param reportedSlots the slots of the servers that reported recently, counted likewise
 * @param reportedLoad the requests that these are processing or have queued
 */
public record Room(double slots, double reportedSlots, double reportedLoad) {

	/**
	 * A region without servers.
	 */
	public static final Room NONE = new Room(0, 0, 0);

	/**
	 * Returns this room with one more server.
	 * @param server the server
	 * @return the room of all servers
	 */
	public Room plus(Server server) {
		double usable = server.slots() * server.speed();
		return new Room(this.slots + usable, this.reportedSlots + (server.reported() ? usable : 0),
				this.reportedLoad + (server.reported() ? server.load() : 0));
	}

	/**
	 * Returns the requests for each slot of the servers that reported.
	 * @return the utilization, above 1 where requests are queued
	 */
	double utilization() {
		return this.reportedLoad / this.reportedSlots;
	}

	/**
	 * The state of a server.
	 *
	 * @param slots its slots
	 * @param load the requests that it is processing or has queued
	 * @param reported whether the load follows from a recent response
	 * @param speed the speed of its machine, 1 being usual
	 */
	public record Server(int slots, int load, boolean reported, double speed) {
	}

}
