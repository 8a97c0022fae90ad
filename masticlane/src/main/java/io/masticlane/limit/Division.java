package io.masticlane.limit;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.EntryHost;

/**
 * The equal division of every limit of one configuration revision among its entry hosts.
 *
 * @param revision the revision of the configuration
 * @param hosts the names of the entry hosts
 * @param limits the limits by identifier
 */
record Division(long revision, Set<String> hosts, Map<String, FleetLimit> limits) {

	static final Division NONE = new Division(0, Set.of(), Map.of());

	static Division of(Configuration configuration, long revision) {
		Set<String> hosts = configuration.entryHosts()
			.stream()
			.map(EntryHost::name)
			.collect(Collectors.toUnmodifiableSet());
		return new Division(revision, hosts,
				FleetLimit.of(configuration)
					.stream()
					.collect(Collectors.toUnmodifiableMap(FleetLimit::identifier, Function.identity())));
	}

	// Returns the rate and burst of the given hosts' shares while other entry hosts may
	// still use previous divisions: for each share the minimum over all divisions.
	RateAndBurst amount(String limit, Set<String> shares, List<Division> previous) {
		return shares.stream()
			.map((share) -> previous.stream()
				.flatMap((each) -> each.share(limit, share).stream())
				.reduce(share(limit, share).orElse(RateAndBurst.ZERO), RateAndBurst::min))
			.reduce(RateAndBurst.ZERO, RateAndBurst::plus);
	}

	private Optional<RateAndBurst> share(String limit, String host) {
		return Optional.ofNullable(this.limits.get(limit))
			.map((each) -> this.hosts.contains(host)
					? new RateAndBurst(each.rate(), each.burst()).times(1.0 / this.hosts.size()) : RateAndBurst.ZERO);
	}

}
