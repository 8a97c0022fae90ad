package io.masticlane.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Lists the differences between two configurations.
 */
public final class ConfigurationChanges {

	private ConfigurationChanges() {
	}

	/**
	 * Lists the differences between two configurations.
	 * @param previous the previous configuration
	 * @param next the next configuration
	 * @return one line for each element that is added, removed or changed
	 */
	public static List<String> between(Configuration previous, Configuration next) {
		return Stream
			.of(changes("region", previous.regions(), next.regions(), Region::name),
					changes("data centre", previous.dataCentres(), next.dataCentres(), DataCentre::name),
					changes("link", previous.links(), next.links(), (link) -> link.from() + "-" + link.to()),
					changes("entry host", previous.entryHosts(), next.entryHosts(), EntryHost::name),
					changes("organisation", previous.organisations(), next.organisations(), Organisation::name),
					changes("service", previous.services(), next.services(), Service::name),
					changes("backend server", previous.backendServers(), next.backendServers(), BackendServer::name),
					changes("client block", previous.clientBlocks(), next.clientBlocks(), ClientBlock::network),
					changes("planned move", previous.plannedMoves(), next.plannedMoves(), PlannedMove::name),
					changes("objective", previous.objectives(), next.objectives(), Objective::service))
			.flatMap(Function.identity())
			.toList();
	}

	private static <T> Stream<String> changes(String kind, List<T> previous, List<T> next, Function<T, String> name) {
		Map<String, T> before = byName(previous, name);
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

	private static <T> Map<String, T> byName(List<T> elements, Function<T, String> name) {
		Map<String, T> byName = new LinkedHashMap<>();
		elements.forEach((element) -> byName.put(name.apply(element), element));
		return byName;
	}

}
