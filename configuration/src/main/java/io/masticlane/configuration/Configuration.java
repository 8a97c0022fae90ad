package io.masticlane.configuration;

import java.util.List;

/**
 * The complete configuration of a deployment.
 *
 * @param schemaVersion the version of the document schema
 * @param name the name of the deployment
 * @param regions the regions
 * @param dataCentres the data centres
 * @param links the links
 * @param entryHosts the entry hosts
 * @param organisations the organisations
 * @param services the services
 * @param backendServers the backend servers
 * @param clientBlocks the client blocks
 * @param plannedMoves the planned moves
 * @param objectives the objectives
 */
public record Configuration(int schemaVersion, String name, List<Region> regions, List<DataCentre> dataCentres,
		List<Link> links, List<EntryHost> entryHosts, List<Organisation> organisations, List<Service> services,
		List<BackendServer> backendServers, List<ClientBlock> clientBlocks, List<PlannedMove> plannedMoves,
		List<Objective> objectives) {

	/**
	 * The version of the schema that this library prints and reads.
	 */
	public static final int SCHEMA_VERSION = 1;

	/**
	 * Creates a new configuration.
	 * @param schemaVersion the version of the document schema
	 * @param name the name of the deployment
	 * @param regions the regions
	 * @param dataCentres the data centres
	 * @param links the links
	 * @param entryHosts the entry hosts
	 * @param organisations the organisations
	 * @param services the services
	 * @param backendServers the backend servers
	 * @param clientBlocks the client blocks
	 * @param plannedMoves the planned moves
	 * @param objectives the objectives
	 */
	public Configuration {
		if (schemaVersion != SCHEMA_VERSION) {
			throw new ConfigurationException("schemaVersion", schemaVersion, "the version " + SCHEMA_VERSION);
		}
		Check.name("name", name);
		regions = Check.listOrEmpty(regions);
		dataCentres = Check.listOrEmpty(dataCentres);
		links = Check.listOrEmpty(links);
		entryHosts = Check.listOrEmpty(entryHosts);
		organisations = Check.listOrEmpty(organisations);
		services = Check.listOrEmpty(services);
		backendServers = Check.listOrEmpty(backendServers);
		clientBlocks = Check.listOrEmpty(clientBlocks);
		plannedMoves = Check.listOrEmpty(plannedMoves);
		objectives = Check.listOrEmpty(objectives);
	}

	/**
	 * Creates a new configuration with a name only.
	 * @param name the name of the deployment
	 * @return the configuration
	 */
	public static Configuration named(String name) {
		return new Configuration(SCHEMA_VERSION, name, List.of(), List.of(), List.of(), List.of(), List.of(), List.of(),
				List.of(), List.of(), List.of(), List.of());
	}

	/**
	 * Returns this configuration with other regions.
	 * @param regions the regions
	 * @return the changed configuration
	 */
	public Configuration withRegions(List<Region> regions) {
		return new Configuration(this.schemaVersion, this.name, regions, this.dataCentres, this.links, this.entryHosts,
				this.organisations, this.services, this.backendServers, this.clientBlocks, this.plannedMoves,
				this.objectives);
	}

	/**
	 * Returns this configuration with other data centres.
	 * @param dataCentres the data centres
	 * @return the changed configuration
	 */
	public Configuration withDataCentres(List<DataCentre> dataCentres) {
		return new Configuration(this.schemaVersion, this.name, this.regions, dataCentres, this.links, this.entryHosts,
				this.organisations, this.services, this.backendServers, this.clientBlocks, this.plannedMoves,
				this.objectives);
	}

	/**
	 * Returns this configuration with other links.
	 * @param links the links
	 * @return the changed configuration
	 */
	public Configuration withLinks(List<Link> links) {
		return new Configuration(this.schemaVersion, this.name, this.regions, this.dataCentres, links, this.entryHosts,
				this.organisations, this.services, this.backendServers, this.clientBlocks, this.plannedMoves,
				this.objectives);
	}

	/**
	 * Returns this configuration with other entry hosts.
	 * @param entryHosts the entry hosts
	 * @return the changed configuration
	 */
	public Configuration withEntryHosts(List<EntryHost> entryHosts) {
		return new Configuration(this.schemaVersion, this.name, this.regions, this.dataCentres, this.links, entryHosts,
				this.organisations, this.services, this.backendServers, this.clientBlocks, this.plannedMoves,
				this.objectives);
	}

	/**
	 * Returns this configuration with other organisations.
	 * @param organisations the organisations
	 * @return the changed configuration
	 */
	public Configuration withOrganisations(List<Organisation> organisations) {
		return new Configuration(this.schemaVersion, this.name, this.regions, this.dataCentres, this.links,
				this.entryHosts, organisations, this.services, this.backendServers, this.clientBlocks,
				this.plannedMoves, this.objectives);
	}

	/**
	 * Returns this configuration with other services.
	 * @param services the services
	 * @return the changed configuration
	 */
	public Configuration withServices(List<Service> services) {
		return new Configuration(this.schemaVersion, this.name, this.regions, this.dataCentres, this.links,
				this.entryHosts, this.organisations, services, this.backendServers, this.clientBlocks,
				this.plannedMoves, this.objectives);
	}

	/**
	 * Returns this configuration with other backend servers.
	 * @param backendServers the backend servers
	 * @return the changed configuration
	 */
	public Configuration withBackendServers(List<BackendServer> backendServers) {
		return new Configuration(this.schemaVersion, this.name, this.regions, this.dataCentres, this.links,
				this.entryHosts, this.organisations, this.services, backendServers, this.clientBlocks,
				this.plannedMoves, this.objectives);
	}

	/**
	 * Returns this configuration with other client blocks.
	 * @param clientBlocks the client blocks
	 * @return the changed configuration
	 */
	public Configuration withClientBlocks(List<ClientBlock> clientBlocks) {
		return new Configuration(this.schemaVersion, this.name, this.regions, this.dataCentres, this.links,
				this.entryHosts, this.organisations, this.services, this.backendServers, clientBlocks,
				this.plannedMoves, this.objectives);
	}

	/**
	 * Returns this configuration with other planned moves.
	 * @param plannedMoves the planned moves
	 * @return the changed configuration
	 */
	public Configuration withPlannedMoves(List<PlannedMove> plannedMoves) {
		return new Configuration(this.schemaVersion, this.name, this.regions, this.dataCentres, this.links,
				this.entryHosts, this.organisations, this.services, this.backendServers, this.clientBlocks,
				plannedMoves, this.objectives);
	}

	/**
	 * Returns this configuration with other objectives.
	 * @param objectives the objectives
	 * @return the changed configuration
	 */
	public Configuration withObjectives(List<Objective> objectives) {
		return new Configuration(this.schemaVersion, this.name, this.regions, this.dataCentres, this.links,
				this.entryHosts, this.organisations, this.services, this.backendServers, this.clientBlocks,
				this.plannedMoves, objectives);
	}

	/**
	 * Checks that names are unique and that every reference is to an existing element.
	 * @return this configuration
	 */
	public Configuration checked() {
		ConfigurationReferences.check(this);
		return this;
	}

}
