package io.masticlane.configuration;

/**
 * Checks that the parts of a configuration refer only to parts that exist.
 */
final class ConfigurationReferences {

	private ConfigurationReferences() {
	}

	static void check(Configuration configuration) {
		checkUnique(configuration);
		checkPlaces(configuration);
		checkServices(configuration);
	}

	private static void checkUnique(Configuration configuration) {
		Check.unique("regions.name", configuration.regions(), Region::name);
		Check.unique("dataCentres.name", configuration.dataCentres(), DataCentre::name);
		Check.unique("entryHosts.name", configuration.entryHosts(), EntryHost::name);
		Check.unique("organisations.name", configuration.organisations(), Organisation::name);
		Check.unique("services.name", configuration.services(), Service::name);
		Check.unique("backendServers.name", configuration.backendServers(), BackendServer::name);
		Check.unique("plannedMoves.name", configuration.plannedMoves(), PlannedMove::name);
		Check.unique("clientBlocks.network", configuration.clientBlocks(), ClientBlock::network);
		Check.unique("organisations.keys.identifier",
				configuration.organisations().stream().flatMap((each) -> each.keys().stream()).toList(),
				HashedKey::identifier);
	}

	private static void checkPlaces(Configuration configuration) {
		configuration.dataCentres().forEach((each) -> region(configuration, "dataCentres.region", each.region()));
		configuration.clientBlocks().forEach((each) -> region(configuration, "clientBlocks.region", each.region()));
		configuration.links().forEach((each) -> {
			region(configuration, "links.from", each.from());
			region(configuration, "links.to", each.to());
		});
		configuration.entryHosts()
			.forEach((each) -> dataCentre(configuration, "entryHosts.dataCentre", each.dataCentre()));
		configuration.backendServers()
			.forEach((each) -> dataCentre(configuration, "backendServers.dataCentre", each.dataCentre()));
	}

	private static void checkServices(Configuration configuration) {
		configuration.backendServers()
			.forEach((each) -> service(configuration, "backendServers.service", each.service()));
		configuration.objectives().forEach((each) -> service(configuration, "objectives.service", each.service()));
		configuration.plannedMoves().forEach((each) -> {
			service(configuration, "plannedMoves.service", each.service());
			region(configuration, "plannedMoves.fromRegion", each.fromRegion());
			region(configuration, "plannedMoves.toRegion", each.toRegion());
		});
	}

	private static void region(Configuration configuration, String field, String name) {
		Check.known(field, name, configuration.regions(), Region::name);
	}

	private static void dataCentre(Configuration configuration, String field, String name) {
		Check.known(field, name, configuration.dataCentres(), DataCentre::name);
	}

	private static void service(Configuration configuration, String field, String name) {
		Check.known(field, name, configuration.services(), Service::name);
	}

}
