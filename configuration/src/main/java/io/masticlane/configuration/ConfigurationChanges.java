package io.masticlane.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Lists what differs between two configurations.
 */
public final class ConfigurationChanges {

	private ConfigurationChanges() {
	}

	/**
	 * Lists what differs between two configurations.
	 * @param former the former configuration
	 * @param next the next configuration
	 * @return a line for each part that is added, removed or changed
	 */
	public static List<String> between(Configuration former, Configuration next) {
		return Stream
			.of(part("region", former.regions(), next.regions(), Region::name),
					part("data centre", former.dataCentres(), next.dataCentres(), DataCentre::name),
					part("link", former.links(), next.links(), (link) -> link.from() + "-" + link.to()),
					part("entry host", former.entryHosts(), next.entryHosts(), EntryHost::name),
					part("organisation", former.organisations(), next.organisations(), Organisation::name),
					part("service", former.services(), next.services(), Service::name),
					part("backend server", former.backendServers(), next.backendServers(), BackendServer::name),
					part("client block", former.clientBlocks(), next.clientBlocks(), ClientBlock::network),
					part("planned move", former.plannedMoves(), next.plannedMoves(), PlannedMove::name),
					part("objective", former.objectives(), next.objectives(), Objective::service))
			.flatMap(Function.identity())
			.toList();
	}

	private static <T> Stream<String> part(String kind, List<T> former, List<T> next, Function<T, String> name) {
		Map<String, T> before = byName(former, name);
		Map<String, T> after = byName(next, name);
		Stream<String> removed = before.keySet()
			.stream()
			.filter((key) -> !after.containsKey(key))
			.map((key) -> "- " + kind + " " + key);
		Stream<String> addedOrChanged = after.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().equals(before.get(entry.getKey())))
			.map((entry) -> (before.containsKey(entry.getKey()) ? "~ " : "+ ") + kind + " " + entry.getKey());
		return Stream.concat(removed, addedOrChanged);
	}

	private static <T> Map<String, T> byName(List<T> parts, Function<T, String> name) {
		Map<String, T> byName = new LinkedHashMap<>();
		parts.forEach((part) -> byName.put(name.apply(part), part));
		return byName;
	}

}
