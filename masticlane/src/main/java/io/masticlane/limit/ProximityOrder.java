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
 * Orders the other entry hosts from the closest to the farthest. Equally close ones are
 * ordered differently at each entry host, so that requests do not all go to the same one
 * first.
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
		int selfIndex = Math.max(0, this.names.indexOf(this.self));
		int size = this.names.size();
		return IntStream.range(0, size)
			.mapToObj((offset) -> this.names.get((selfIndex + offset) % size))
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
