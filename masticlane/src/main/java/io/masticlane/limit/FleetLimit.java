package io.masticlane.limit;

import java.util.List;
import java.util.stream.Stream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.Link;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.PlannedMove;
import io.masticlane.configuration.Region;

/**
 * An amount that all entry hosts together may use.
 *
 * @param identifier the identifier of the limit
 * @param rate the rate in tokens per second
 * @param burst the most tokens that may be used at once
 */
public record FleetLimit(String identifier, double rate, double burst) {

	private static final double BURST_SECONDS = 0.2;

	private static final double BYTES_PER_MEGABIT = 125_000;

	/**
	 * Returns every limit of a configuration.
	 * @param configuration the configuration
	 * @return the limits
	 */
	public static List<FleetLimit> of(Configuration configuration) {
		double leastBurst = configuration.entryHosts().size();
		return Stream
			.of(configuration.organisations().stream().map(FleetLimit::ofOrganisation),
					configuration.regions().stream().map((each) -> ofRegion(each, leastBurst)),
					configuration.links().stream().flatMap(FleetLimit::ofLink),
					configuration.plannedMoves().stream().map((each) -> ofMove(each, leastBurst)))
			.flatMap((limits) -> limits)
			.toList();
	}

	private static FleetLimit ofOrganisation(Organisation organisation) {
		return new FleetLimit(Limits.organisationIdentifier(organisation.name()), organisation.requestsPerSecond(),
				organisation.burst());
	}

	private static FleetLimit ofRegion(Region region, double leastBurst) {
		return withUsualBurst(Limits.regionIdentifier(region.name()), region.requestsPerSecond(), leastBurst);
	}

	private static Stream<FleetLimit> ofLink(Link link) {
		double rate = link.megabitsPerSecond() * BYTES_PER_MEGABIT;
		return Stream.of(withUsualBurst(Limits.linkIdentifier(link.from(), link.to()), rate, 0),
				withUsualBurst(Limits.linkIdentifier(link.to(), link.from()), rate, 0));
	}

	private static FleetLimit ofMove(PlannedMove move, double leastBurst) {
		return withUsualBurst(Limits.moveIdentifier(move.name()), move.requestsPerSecondCap(), leastBurst);
	}

	private static FleetLimit withUsualBurst(String identifier, double rate, double leastBurst) {
		return new FleetLimit(identifier, rate, Math.max(rate * BURST_SECONDS, leastBurst));
	}

}
