package io.masticlane.configuration;

/**
 * A backend server of a service.
 *
 * @param name the name of the backend server
 * @param service the service that it runs
 * @param dataCentre the data centre in which it is located
 * @param address the address for requests
 * @param slots the maximum number of concurrent requests
 * @param connections the maximum number of connections
 * @param leaving whether it receives no new requests
 */
public record BackendServer(String name, String service, String dataCentre, String address, int slots, int connections,
		boolean leaving) {

	/**
	 * The default maximum number of connections of a backend server.
	 */
	public static final int DEFAULT_CONNECTIONS = 400;

	/**
	 * Creates a new backend server of a service.
	 * @param name the name of the backend server
	 * @param service the service that it runs
	 * @param dataCentre the data centre in which it is located
	 * @param address the address for requests
	 * @param slots the maximum number of concurrent requests
	 * @param connections the maximum number of connections
	 * @param leaving whether it receives no new requests
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
	 * Creates a new backend server that receives requests and has the default number of
	 * connections.
	 * @param name the name of the backend server
	 * @param service the service that it runs
	 * @param dataCentre the data centre in which it is located
	 * @param address the address for requests
	 * @param slots the maximum number of concurrent requests
	 * @return the backend server
	 */
	public static BackendServer of(String name, String service, String dataCentre, String address, int slots) {
		return new BackendServer(name, service, dataCentre, address, slots, DEFAULT_CONNECTIONS, false);
	}

	/**
	 * Returns this backend server with another leaving state.
	 * @param leaving whether it receives no new requests
	 * @return the changed backend server
	 */
	public BackendServer withLeaving(boolean leaving) {
		return new BackendServer(this.name, this.service, this.dataCentre, this.address, this.slots, this.connections,
				leaving);
	}

}
