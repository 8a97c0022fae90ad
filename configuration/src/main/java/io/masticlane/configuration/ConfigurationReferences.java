package io.masticlane.configuration;

/**
 * Checks that names in a configuration are unique and that references are to existing
 * elements.
 */
final class ConfigurationReferences {

	private ConfigurationReferences() {
	}

	static void check(Configuration configuration) {
		checkUniqueNames(configuration);
		checkLocationReferences(configuration);
		checkServiceReferences(configuration);
	}

	private static void checkUniqueNames(Configuration configuration) {
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

	private static void checkLocationReferences(Configuration configuration) {
		configuration.dataCentres().forEach((each) -> checkRegion(configuration, "dataCentres.region", each.region()));
		configuration.clientBlocks()
			.forEach((each) -> checkRegion(configuration, "clientBlocks.region", each.region()));
		configuration.links().forEach((each) -> {
			checkRegion(configuration, "links.from", each.from());
			checkRegion(configuration, "links.to", each.to());
		});
		configuration.entryHosts()
			.forEach((each) -> checkDataCentre(configuration, "entryHosts.dataCentre", each.dataCentre()));
		configuration.backendServers()
			.forEach((each) -> checkDataCentre(configuration, "backendServers.dataCentre", each.dataCentre()));
	}

	private static void checkServiceReferences(Configuration configuration) {
		configuration.backendServers()
			.forEach((each) -> checkService(configuration, "backendServers.service", each.service()));
		configuration.objectives().forEach((each) -> checkService(configuration, "objectives.service", each.service()));
		configuration.plannedMoves().forEach((each) -> {
			checkService(configuration, "plannedMoves.service", each.service());
			checkRegion(configuration, "plannedMoves.fromRegion", each.fromRegion());
			checkRegion(configuration, "plannedMoves.toRegion", each.toRegion());
		});
	}

	private static void checkRegion(Configuration configuration, String field, String name) {
		Check.knownName(field, name, configuration.regions(), Region::name);
	}

	private static void checkDataCentre(Configuration configuration, String field, String name) {
		Check.knownName(field, name, configuration.dataCentres(), DataCentre::name);
	}

	private static void checkService(Configuration configuration, String field, String name) {
		Check.knownName(field, name, configuration.services(), Service::name);
	}

}
