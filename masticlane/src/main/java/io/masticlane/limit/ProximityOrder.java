package io.masticlane.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Link;

/**
 * Orders the other entry hosts from the nearest to the farthest. Equally near ones come
 * in a different order at each entry host, so that not all ask the same one first.
 */
final class ProximityOrder {

	private final Configuration configuration;

	private final Map<String, String> regions;

	private final List<String> names;

	private final String self;

	ProximityOrder(Configuration configuration, String self) {
		this.configuration = configuration;
		this.regions = configuration.dataCentres()
			.stream()
			.collect(Collectors.toMap(DataCentre::name, DataCentre::region));
		this.names = configuration.entryHosts().stream().map(EntryHost::name).sorted().toList();
		this.self = self;
	}

	List<String> otherHosts() {
		int own = Math.max(0, this.names.indexOf(this.self));
		int size = this.names.size();
		return IntStream.range(0, size)
			.mapToObj((step) -> this.names.get((own + step) % size))
			.filter((name) -> !name.equals(this.self))
			.sorted(Comparator.comparing(this::roundTripMillis))
			.toList();
	}

	private double roundTripMillis(String other) {
		String from = region(this.self);
		String to = region(other);
		return from.equals(to) ? 0
				: this.configuration.links()
					.stream()
					.filter((link) -> link.joins(from, to))
					.mapToDouble(Link::roundTripMillis)
					.findFirst()
					.orElse(Double.MAX_VALUE);
	}

	private String region(String host) {
		return this.configuration.entryHosts()
			.stream()
			.filter((each) -> each.name().equals(host))
			.map((each) -> this.regions.getOrDefault(each.dataCentre(), ""))
			.findFirst()
			.orElse("");
	}

}
