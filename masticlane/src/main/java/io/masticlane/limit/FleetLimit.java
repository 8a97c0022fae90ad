package io.masticlane.limit;

import java.util.List;
import java.util.stream.Stream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.Link;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.PlannedMove;
import io.masticlane.configuration.Region;

/**
 * A rate and burst that all entry hosts share.
 *
 * @param identifier the identifier of the limit
 * @param rate the rate in tokens per second
 * @param burst the maximum number of tokens that may be used at once
 */
public record FleetLimit(String identifier, double rate, double burst) {

	private static final double BURST_SECONDS = 0.2;

	private static final double BYTES_PER_MEGABIT = 125_000;

	/**
	 * Returns all limits of a configuration.
	 * @param configuration the configuration
	 * @return the limits
	 */
	public static List<FleetLimit> of(Configuration configuration) {
		double minimumBurst = configuration.entryHosts().size();
		return Stream
			.of(configuration.organisations().stream().map(FleetLimit::ofOrganisation),
					configuration.regions().stream().map((each) -> ofRegion(each, minimumBurst)),
					configuration.links().stream().flatMap(FleetLimit::ofLink),
					configuration.plannedMoves().stream().map((each) -> ofMove(each, minimumBurst)))
			.flatMap((limits) -> limits)
			.toList();
	}

	private static FleetLimit ofOrganisation(Organisation organisation) {
		return new FleetLimit(Limits.organisationIdentifier(organisation.name()), organisation.requestsPerSecond(),
				organisation.burst());
	}

	private static FleetLimit ofRegion(Region region, double minimumBurst) {
		return withDefaultBurst(Limits.regionIdentifier(region.name()), region.requestsPerSecond(), minimumBurst);
	}

	private static Stream<FleetLimit> ofLink(Link link) {
		double rate = link.megabitsPerSecond() * BYTES_PER_MEGABIT;
		return Stream.of(withDefaultBurst(Limits.linkIdentifier(link.from(), link.to()), rate, 0),
				withDefaultBurst(Limits.linkIdentifier(link.to(), link.from()), rate, 0));
	}

	private static FleetLimit ofMove(PlannedMove move, double minimumBurst) {
		return withDefaultBurst(Limits.moveIdentifier(move.name()), move.requestsPerSecondCap(), minimumBurst);
	}

	private static FleetLimit withDefaultBurst(String identifier, double rate, double minimumBurst) {
		return new FleetLimit(identifier, rate, Math.max(rate * BURST_SECONDS, minimumBurst));
	}

}
