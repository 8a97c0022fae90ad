package io.masticlane.bench;

import java.net.InetAddress;
import java.util.List;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Region;
import io.masticlane.membership.EntryHostDirectory;
import io.masticlane.route.RoutingTable;

/**
 * Measures the time to render the responses to look-ups, and their size, by the number of
 * entry hosts.
 */
final class DirectorySlopes {

	private static final int REGIONS = 32;

	private static final int[] HOST_COUNTS = { 7, 70, 350, 700 };

	private static final long TTL_MILLIS = 5_000;

	private static final double NANOS_PER_MILLI = 1e6;

	private final Slopes slopes;

	DirectorySlopes(Slopes slopes) {
		this.slopes = slopes;
	}

	void print() {
		this.slopes.measure("directory rendered for " + REGIONS + " regions", "ms per entry host", (hosts) -> {
			RoutingTable table = table(hosts);
			List<EntryHostDirectory.ResponsiveHost> responsiveHosts = responsiveHosts(table);
			return Meter.processorNanos(() -> EntryHostDirectory.of(table, responsiveHosts, "region-0", TTL_MILLIS))
					/ NANOS_PER_MILLI;
		}, HOST_COUNTS);
		this.slopes.measure("answer to a look-up", "bytes per entry host", (hosts) -> {
			RoutingTable table = table(hosts);
			return EntryHostDirectory.of(table, responsiveHosts(table), "region-0", TTL_MILLIS)
				.response(InetAddress.getLoopbackAddress()).length;
		}, HOST_COUNTS);
	}

	private static List<EntryHostDirectory.ResponsiveHost> responsiveHosts(RoutingTable table) {
		return table.configuration()
			.entryHosts()
			.stream()
			.map((host) -> new EntryHostDirectory.ResponsiveHost(host.name(), "0b1f5c1e-7f4d-4d2c-9a51-3f2f6f1f9a10",
					host.name().hashCode() % 100, false, 100_000))
			.toList();
	}

	private static RoutingTable table(int hosts) {
		return RoutingTable.of(1, Configuration.named("slopes")
			.withRegions(IntStream.range(0, REGIONS).mapToObj((index) -> new Region("region-" + index, 1_000)).toList())
			.withDataCentres(IntStream.range(0, REGIONS)
				.mapToObj((index) -> new DataCentre("centre-" + index, "region-" + index))
				.toList())
			.withEntryHosts(IntStream.range(0, hosts)
				.mapToObj((index) -> new EntryHost("entry-" + index, "centre-" + index % REGIONS, "10.1.0.1:8080",
						"10.1.0.1:8081", "10.1.0.1:8082"))
				.toList()));
	}

}
