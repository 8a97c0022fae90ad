package io.masticlane.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import io.masticlane.placement.Rendezvous;

/**
 * Selects the entry hosts that a look-up names when large responses make the capacity of
 * hosts matter. A caller picks one of the named hosts at random for each connection, so
 * that the weakest of them limits what all can carry together: of the hosts in order of
 * their strength, as many are named as carry most when each carries as much as the
 * weakest. The selection depends only on its arguments, so that every host gives the same
 * answer.
 */
public final class HostSelection {

	/**
	 * The largest number of addresses in an answer.
	 */
	static final int MAXIMUM_HOSTS = 64;

	/**
	 * The smallest number of hosts that are named while as many accept callers, so that
	 * the loss of one leaves one.
	 */
	static final int MINIMUM_HOSTS = 2;

	/**
	 * The number of hosts outside the caller's data centre that are named as a reserve,
	 * per host in it. Callers keep an answer for 2 s, some for 6 s, and would have no
	 * host for that time if the whole data centre failed. At a half, a third of the
	 * connections leave their data centre and the busiest host carries a third more than
	 * the mean.
	 */
	static final double RESERVE_RATIO = 0.5;

	/**
	 * The largest number of hosts in the caller's data centre, which leaves room for the
	 * reserve.
	 */
	private static final int MAXIMUM_LOCAL_HOSTS = (int) (MAXIMUM_HOSTS / (1 + RESERVE_RATIO));

	/**
	 * The ratio from which a smaller amount counts as about equal to a larger one. Hosts
	 * of one kind differ by up to a fifth (0.69 to 0.81 cores, 7 to 8 Mbit/s), and the
	 * loss of a few hosts among many must not direct callers to another data centre.
	 */
	static final double ABOUT_EQUAL = 0.75;

	private static final Comparator<Candidate> STRONGEST_FIRST = Comparator.comparingDouble(Candidate::strength)
		.thenComparingDouble(Candidate::rank)
		.reversed()
		.thenComparing((candidate) -> candidate.gateway().host());

	private HostSelection() {
	}

	/**
	 * Selects the hosts for the callers of a data centre: the strongest in it, and a
	 * reserve in other data centres of the region. The strongest of the region are
	 * selected instead if the data centre has too few, weaker ones, or ones that carry
	 * too little together; those of all regions if the region has none.
	 * @param region the region of the callers
	 * @param dataCentre the data centre of the callers
	 * @param available the gateways that accept callers
	 * @param largest the largest amount of each resource in the deployment
	 * @return the selected gateways in the order of their hosts, empty only if none is
	 * available
	 */
	public static List<Gateway> select(String region, String dataCentre, Collection<Gateway> available,
			HostCapacity largest) {
		List<Gateway> inRegion = available.stream().filter((gateway) -> gateway.region().equals(region)).toList();
		long location = Rendezvous.hash(dataCentre);
		List<Candidate> candidates = (inRegion.isEmpty() ? available : inRegion).stream()
			.map((gateway) -> Candidate.of(gateway, largest, location))
			.sorted(STRONGEST_FIRST)
			.toList();
		List<Candidate> wider = strongest(candidates, MAXIMUM_HOSTS);
		List<Candidate> local = strongest(
				candidates.stream().filter((candidate) -> candidate.isIn(dataCentre)).toList(), MAXIMUM_LOCAL_HOSTS);
		if (inRegion.isEmpty() || !suffices(local, wider, dataCentres(candidates))) {
			return gateways(wider.stream());
		}
		return gateways(Stream.concat(local.stream(), reserve(candidates, dataCentre, local)));
	}

	/**
	 * Returns whether the hosts of a data centre can serve its callers: they are enough,
	 * about as strong as those selected from the region, and carry about the part of the
	 * region's traffic that falls to the data centre if all send alike.
	 * @param local the hosts selected from the data centre, strongest first
	 * @param regional the hosts selected from the region, strongest first
	 * @param dataCentres the number of data centres with hosts in the region
	 * @return whether they suffice
	 */
	private static boolean suffices(List<Candidate> local, List<Candidate> regional, long dataCentres) {
		return local.size() >= MINIMUM_HOSTS && weakest(local) >= ABOUT_EQUAL * weakest(regional)
				&& load(local) >= ABOUT_EQUAL * load(regional) / dataCentres;
	}

	/**
	 * Selects the strongest candidates: as many as carry most together, and those that
	 * are about as strong as the last of them.
	 * @param candidates the candidates, strongest first
	 * @param maximum the largest number to select
	 * @return the selected candidates, strongest first
	 */
	private static List<Candidate> strongest(List<Candidate> candidates, int maximum) {
		int limit = Math.min(candidates.size(), maximum);
		int count = Math.min(MINIMUM_HOSTS, limit);
		for (int next = count + 1; next <= limit; next++) {
			if (load(candidates.subList(0, next)) > load(candidates.subList(0, count))) {
				count = next;
			}
		}
		double weakest = weakest(candidates.subList(0, count));
		while (count < limit && candidates.get(count).strength() >= ABOUT_EQUAL * weakest) {
			count++;
		}
		return candidates.subList(0, count);
	}

	private static Stream<Candidate> reserve(List<Candidate> regional, String dataCentre, List<Candidate> local) {
		return regional.stream()
			.filter((candidate) -> !candidate.isIn(dataCentre))
			.filter((candidate) -> candidate.strength() >= ABOUT_EQUAL * weakest(local))
			.sorted(Comparator.comparingDouble(Candidate::rank).reversed())
			.limit((long) Math.ceil(local.size() * RESERVE_RATIO));
	}

	/**
	 * Returns what candidates carry together when each carries as much as the weakest.
	 * @param strongestFirst the candidates
	 * @return the sum, relative to the largest host
	 */
	private static double load(List<Candidate> strongestFirst) {
		return strongestFirst.size() * weakest(strongestFirst);
	}

	private static double weakest(List<Candidate> strongestFirst) {
		return strongestFirst.isEmpty() ? 0 : strongestFirst.get(strongestFirst.size() - 1).strength();
	}

	private static long dataCentres(List<Candidate> candidates) {
		return candidates.stream().map((candidate) -> candidate.gateway().dataCentre()).distinct().count();
	}

	private static List<Gateway> gateways(Stream<Candidate> candidates) {
		return candidates.map(Candidate::gateway).sorted(Comparator.comparing(Gateway::host)).toList();
	}

	/**
	 * A gateway that may be selected.
	 *
	 * @param gateway the gateway
	 * @param strength what its host can carry, relative to the largest host
	 * @param rank its rank among equally strong hosts, which differs by the callers' data
	 * centre, so that not all data centres leave out or reserve the same hosts
	 */
	private record Candidate(Gateway gateway, double strength, double rank) {

		private static Candidate of(Gateway gateway, HostCapacity largest, long location) {
			return new Candidate(gateway, gateway.capacity().fractionOf(largest),
					Rendezvous.fraction(location ^ Rendezvous.hash(gateway.host())));
		}

		private boolean isIn(String dataCentre) {
			return this.gateway.dataCentre().equals(dataCentre);
		}

	}

}
