package io.masticlane.configuration.example;

import java.util.List;
import java.util.stream.IntStream;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.HashedKey;
import io.masticlane.configuration.Link;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Region;

/**
 * The elements that both example deployments have in common: three regions with two data
 * centres each, and seven entry hosts.
 */
final class Deployment {

	private static final int DATA_CENTRES_PER_REGION = 2;

	private static final int ENTRY_HOSTS = 7;

	private static final String SALT = "00112233445566778899aabbccddeeff";

	private Deployment() {
	}

	static Configuration of(String name, List<String> regions, double requestsPerSecond, double megabitsPerSecond) {
		return Configuration.named(name)
			.withRegions(regions.stream().map((each) -> new Region(each, requestsPerSecond)).toList())
			.withDataCentres(regions.stream()
				.flatMap((region) -> IntStream.rangeClosed(1, DATA_CENTRES_PER_REGION)
					.mapToObj((number) -> new DataCentre(region + "-" + number, region)))
				.toList())
			.withLinks(List.of(link(regions, 0, 1, megabitsPerSecond), link(regions, 1, 2, megabitsPerSecond),
					link(regions, 0, 2, megabitsPerSecond)))
			.withEntryHosts(IntStream.range(0, ENTRY_HOSTS).mapToObj((index) -> entryHost(regions, index)).toList());
	}

	static List<BackendServer> backendServers(List<String> regions, String service, int count, int slots, int subnet) {
		return IntStream.range(0, count)
			.mapToObj((index) -> BackendServer.of(service + "-" + (index + 1), service, dataCentre(regions, index),
					"127.0." + subnet + "." + (index + 1) + ":8080", slots))
			.toList();
	}

	static Organisation organisation(String name, double requestsPerSecond, double burst) {
		return Organisation.of(name, requestsPerSecond, burst)
			.withKey(HashedKey.of(name + "-1", "example-secret-of-" + name, SALT));
	}

	private static EntryHost entryHost(List<String> regions, int index) {
		String address = "127.0.1." + (index + 1);
		return new EntryHost("entry-" + (index + 1), dataCentre(regions, index), address + ":8080", address + ":8081",
				address + ":8082");
	}

	private static String dataCentre(List<String> regions, int index) {
		int dataCentreIndex = index % (regions.size() * DATA_CENTRES_PER_REGION);
		return regions.get(dataCentreIndex % regions.size()) + "-" + (dataCentreIndex / regions.size() + 1);
	}

	private static Link link(List<String> regions, int from, int to, double megabitsPerSecond) {
		return new Link(regions.get(from), regions.get(to), megabitsPerSecond, 35);
	}

}
