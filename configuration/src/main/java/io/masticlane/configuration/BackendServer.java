package io.masticlane.configuration;

/**
 * A backend server of a service.
 *
 * @param name the name of the backend server
 * @param service the service that it runs
 * @param dataCentre the data centre in which it stands
 * @param address the address for requests
 * @param slots the requests that it runs at once
 * @param connections the connections that it takes
 * @param leaving whether it gets no new work
 */
public record BackendServer(String name, String service, String dataCentre, String address, int slots, int connections,
		boolean leaving) {

	/**
	 * The connections that a backend server takes unless stated otherwise.
	 */
	public static final int DEFAULT_CONNECTIONS = 400;

	/**
	 * Creates a new backend server of a service.
	 * @param name the name of the backend server
	 * @param service the service that it runs
	 * @param dataCentre the data centre in which it stands
	 * @param address the address for requests
	 * @param slots the requests that it runs at once
	 * @param connections the connections that it takes
	 * @param leaving whether it gets no new work
	 */
	public BackendServer {
		Check.name("backendServers.name", name);
		Check.name("backendServers.service", service);
		Check.name("backendServers.dataCentre", dataCentre);
		Check.address("backendServers.address", address);
		Check.atLeast("backendServers.slots", slots, 1);
		Check.atLeast("backendServers.connections", connections, 1);
	}

	/**
	 * Creates a new backend server that takes work.
	 * @param name the name of the backend server
	 * @param service the service that it runs
	 * @param dataCentre the data centre in which it stands
	 * @param address the address for requests
	 * @param slots the requests that it runs at once
	 * @return the backend server
	 */
	public static BackendServer of(String name, String service, String dataCentre, String address, int slots) {
		return new BackendServer(name, service, dataCentre, address, slots, DEFAULT_CONNECTIONS, false);
	}

	/**
	 * Returns this backend server with another wish to leave.
	 * @param leaving whether it gets no new work
	 * @return the changed backend server
	 */
	public BackendServer withLeaving(boolean leaving) {
		return new BackendServer(this.name, this.service, this.dataCentre, this.address, this.slots, this.connections,
				leaving);
	}

}
