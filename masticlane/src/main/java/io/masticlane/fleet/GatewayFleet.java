package io.masticlane.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.masticlane.message.Message;

/**
 * A gateway's view of the other gateways: the store determines the members, and their
 * reports determine which of them are running and accept callers.
 */
public final class GatewayFleet {

	/**
	 * The age at which a report expires, in nanoseconds: three report intervals.
	 */
	public static final long REPORT_TTL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	/**
	 * How long a new member counts as available before its first report, in nanoseconds:
	 * the time to connect over a link with packet loss.
	 */
	private static final long FIRST_REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * How long the share of a gateway whose entry lapsed in the store is reserved for it,
	 * in nanoseconds. It may be cut off from the store and still serve its callers.
	 */
	public static final long RESERVATION_NANOS = TimeUnit.MINUTES.toNanos(10);

	private static final double PER_MILLE = 1_000;

	private final String self;

	private final Map<String, Gateway> members = new HashMap<>();

	private final Map<String, LapsedMember> lapsed = new HashMap<>();

	private final Map<String, Long> discoveredAt = new HashMap<>();

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Creates the view of a gateway.
	 * @param self the name of its entry host
	 */
	public GatewayFleet(String self) {
		this.self = self;
	}

	/**
	 * Records the description of a gateway.
	 * @param gateway the gateway
	 * @param now the current time in nanoseconds
	 */
	public void memberUpdated(Gateway gateway, long now) {
		this.lapsed.remove(gateway.host());
		Gateway previous = this.members.put(gateway.host(), gateway);
		if (previous == null || !previous.incarnation().equals(gateway.incarnation())) {
			this.discoveredAt.put(gateway.host(), now);
		}
	}

	/**
	 * Records that the description of a gateway was removed from the store. The share of
	 * a gateway that did not announce its end stays reserved, since a gateway that is cut
	 * off cannot be told from a dead one.
	 * @param host the name of its entry host
	 * @param now the current time in nanoseconds
	 * @return whether the share stays reserved
	 */
	public boolean memberRemoved(String host, long now) {
		Gateway removed = this.members.remove(host);
		this.discoveredAt.remove(host);
		Report report = this.reports.get(host);
		if (removed == null || removed.leaving() || report != null && report.report().leaving()) {
			return false;
		}
		this.lapsed.put(host, new LapsedMember(removed, now));
		return true;
	}

	/**
	 * Ends the reservations that are too old. They are kept if they are for half of the
	 * gateways or more: this gateway may then be on the smaller side of a partition, and
	 * the larger side keeps its share.
	 * @param now the current time in nanoseconds
	 */
	public void expire(long now) {
		if (2 * this.lapsed.size() < size()) {
			this.lapsed.values().removeIf((member) -> now - member.lapsedAt() > RESERVATION_NANOS);
		}
	}

	/**
	 * Returns whether the other gateways still reserve the share of this one. They
	 * release it after a while without a renewal in the store, unless this gateway
	 * belongs to the larger side of a partition.
	 * @param nanosSinceRenewal the time since this gateway renewed its entry in the store
	 * @param now the current time in nanoseconds
	 * @return whether this gateway may use its share
	 */
	public boolean retainsShare(long nanosSinceRenewal, long now) {
		return nanosSinceRenewal < RESERVATION_NANOS || 2 * (freshReportCount(now) + 1) > size();
	}

	/**
	 * Records a report that may have been relayed.
	 * @param received the report
	 */
	public void reportReceived(ReceivedReport received) {
		this.reports.put(received.origin().host(),
				new Report(received.report(), received.receivedAt(), received.direct()));
	}

	/**
	 * Records the loss of the last connection to a gateway. It says nothing of a gateway
	 * whose reports are relayed.
	 * @param host the name of its entry host
	 */
	public void connectionLost(String host) {
		Report report = this.reports.get(host);
		if (report != null && report.direct()) {
			this.reports.remove(host);
		}
	}

	/**
	 * Returns the gateways for the callers of a region: those in the region if any is
	 * available, else all available ones.
	 * @param region the region of the callers
	 * @param now the current time in nanoseconds
	 * @return the gateways, empty only if none accepts callers
	 */
	public List<Gateway> availableGateways(String region, long now) {
		List<Gateway> available = availableGateways(now);
		Predicate<Gateway> inRegion = (gateway) -> gateway.region().equals(region);
		return available.stream().anyMatch(inRegion) ? available.stream().filter(inRegion).toList() : available;
	}

	/**
	 * Returns the gateways of all regions that accept callers.
	 * @param now the current time in nanoseconds
	 * @return the gateways in the order of their hosts, empty only if none accepts
	 * callers
	 */
	public List<Gateway> availableGateways(long now) {
		return this.members.values()
			.stream()
			.filter((gateway) -> acceptsCallers(gateway, now))
			.sorted(Comparator.comparing(Gateway::host))
			.toList();
	}

	/**
	 * Returns the largest known amount of each resource among all members, whether or not
	 * they accept callers.
	 * @return the amounts
	 */
	public HostCapacity largestCapacity() {
		return HostCapacity.largest(this.members.values().stream().map(Gateway::capacity));
	}

	/**
	 * Returns the number of other gateways with an unexpired report.
	 * @param now the current time in nanoseconds
	 * @return the number of gateways
	 */
	public int freshReportCount(long now) {
		return (int) this.reports.values()
			.stream()
			.filter((report) -> now - report.receivedAt() < REPORT_TTL_NANOS)
			.count();
	}

	/**
	 * Returns the number of gateways that share the limits, including this one and those
	 * with a reservation.
	 * @return the number of gateways
	 */
	public int size() {
		return this.members.size() + this.lapsed.size() + (this.members.containsKey(this.self) ? 0 : 1);
	}

	/**
	 * Returns the number of gateways in a region that share the limits, including this
	 * one and those with a reservation.
	 * @param region the region
	 * @return the number, at least one
	 */
	public int regionSize(String region) {
		long reserved = this.lapsed.isEmpty() ? 0
				: this.lapsed.values().stream().filter((member) -> member.gateway().region().equals(region)).count();
		long members = this.members.values().stream().filter((gateway) -> gateway.region().equals(region)).count();
		return (int) Math.max(1, members + reserved);
	}

	/**
	 * Returns the fraction of each service's objects that a region serves itself,
	 * according to the unexpired reports of the other gateways in the region.
	 * @param region the region
	 * @param now the current time in nanoseconds
	 * @return the fractions from 0 to 1 by service, one map per gateway
	 */
	public List<Map<String, Double>> localFractions(String region, long now) {
		return others().stream()
			.filter((gateway) -> gateway.region().equals(region))
			.map((gateway) -> this.reports.get(gateway.host()))
			.filter((report) -> report != null && now - report.receivedAt() < REPORT_TTL_NANOS)
			.map((report) -> report.report()
				.ownShares()
				.entrySet()
				.stream()
				.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue() / PER_MILLE)))
			.toList();
	}

	/**
	 * Converts fractions to the units of a report.
	 * @param fractions the fractions from 0 to 1 by service
	 * @return the fractions in per mille by service
	 */
	public static Map<String, Long> toPerMille(Map<String, Double> fractions) {
		return fractions.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> Math.round(entry.getValue() * PER_MILLE)));
	}

	/**
	 * Returns the members except this gateway.
	 * @return the members except this gateway
	 */
	public List<Gateway> others() {
		return this.members.values().stream().filter((gateway) -> !gateway.host().equals(this.self)).toList();
	}

	/**
	 * Returns a member.
	 * @param host the name of its entry host
	 * @return the member, or empty if the store has no entry of it
	 */
	public Optional<Gateway> member(String host) {
		return Optional.ofNullable(this.members.get(host));
	}

	private boolean acceptsCallers(Gateway gateway, long now) {
		if (gateway.host().equals(this.self)) {
			return !gateway.leaving();
		}
		Report report = this.reports.get(gateway.host());
		if (report != null && now - report.receivedAt() < REPORT_TTL_NANOS) {
			return report.report().ready() && !report.report().leaving();
		}
		Long discovered = this.discoveredAt.get(gateway.host());
		return !gateway.leaving() && discovered != null && now - discovered < FIRST_REPORT_TIMEOUT_NANOS;
	}

	private record LapsedMember(Gateway gateway, long lapsedAt) {
	}

	private record Report(Message.GatewayReport report, long receivedAt, boolean direct) {
	}

}
