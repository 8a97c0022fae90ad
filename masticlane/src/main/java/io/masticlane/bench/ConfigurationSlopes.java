package io.masticlane.bench;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.ClientBlock;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.HashedKey;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Region;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;
import io.masticlane.route.RoutingTable;

/**
 * Measures the cost of a configuration by the number of its elements: document size in
 * bytes, processor time to read it and build the routing table, and heap.
 */
final class ConfigurationSlopes {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final int[] COUNTS = { 250, 500, 1_000, 2_000 };

	private static final String SALT = "00112233445566778899aabbccddeeff";

	private final Slopes slopes;

	ConfigurationSlopes(Slopes slopes) {
		this.slopes = slopes;
	}

	void print() {
		measure("organisation with one key", (count) -> base().withOrganisations(list(count,
				(index) -> Organisation.of("org-" + index, 100, 10).withKey(HashedKey.of("key-" + index, "s", SALT)))));
		measure("backend server", (count) -> base().withBackendServers(
				list(count, (index) -> BackendServer.of("ledger-" + index, "ledger", "west-1", address(index), 7))));
		measure("entry host", (count) -> base().withEntryHosts(list(count,
				(index) -> new EntryHost("entry-" + index, "west-1", address(index), address(index), address(index)))));
		measure("client block", (count) -> base().withClientBlocks(list(count,
				(index) -> new ClientBlock("10." + (index / 256) + "." + (index % 256) + ".0/24", "west"))));
	}

	private void measure(String name, IntFunction<Configuration> configurations) {
		this.slopes.measure(name + " in the document", "bytes each", (count) -> document(configurations, count).length,
				COUNTS);
		this.slopes.measure(name + " read and put in force", "ms each", (count) -> {
			byte[] document = document(configurations, count);
			return Meter.processorNanos(() -> RoutingTable.of(1, ConfigurationDocument.read(document)))
					/ NANOS_PER_MILLI;
		}, COUNTS);
		this.slopes.measure(name + " in force, heap", "bytes each", (count) -> {
			byte[] document = document(configurations, count);
			return Meter.heapBytes(() -> RoutingTable.of(1, ConfigurationDocument.read(document)));
		}, COUNTS);
	}

	private static byte[] document(IntFunction<Configuration> configurations, int count) {
		return ConfigurationDocument.print(configurations.apply(count)).getBytes(StandardCharsets.UTF_8);
	}

	private static Configuration base() {
		return Configuration.named("slopes")
			.withRegions(List.of(new Region("west", 1_000)))
			.withDataCentres(List.of(new DataCentre("west-1", "west")))
			.withServices(List.of(Service.of("ledger", Route.idempotent("GET", "/ledger"))));
	}

	private static <T> List<T> list(int count, IntFunction<T> element) {
		return IntStream.range(0, count).mapToObj(element).toList();
	}

	private static String address(int index) {
		return "10.1." + (index / 256) + "." + (index % 256) + ":8080";
	}

}
