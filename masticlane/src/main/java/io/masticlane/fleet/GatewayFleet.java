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
 * What a gateway believes of the others: the store says who is a member, and their own
 * reports say who lives and takes callers.
 */
public final class GatewayFleet {

	/**
	 * The age at which a report counts no more, in nanoseconds: three intervals.
	 */
	public static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	/**
	 * How long a member of the store may be without a report after it was first seen, in
	 * nanoseconds: the time to connect over a link that loses packets.
	 */
	private static final long INTRODUCTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	private static final double SHARE_UNITS = 1_000;

	private final String self;

	private final Map<String, Gateway> members = new HashMap<>();

	private final Map<String, Long> seenAt = new HashMap<>();

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Creates the beliefs of a gateway.
	 * @param self the name of its entry host
	 */
	public GatewayFleet(String self) {
		this.self = self;
	}

	/**
	 * Records the description of a gateway.
	 * @param gateway the gateway
	 * @param now the present in nanoseconds
	 */
	public void memberUpdated(Gateway gateway, long now) {
		Gateway former = this.members.put(gateway.host(), gateway);
		if (former == null || !former.incarnation().equals(gateway.incarnation())) {
			this.seenAt.put(gateway.host(), now);
		}
	}

	/**
	 * Records that a gateway's description is gone from the store.
	 * @param host the name of its entry host
	 */
	public void memberRemoved(String host) {
		this.members.remove(host);
		this.seenAt.remove(host);
	}

	/**
	 * Records a report.
	 * @param host the name of the sender's entry host
	 * @param report the report
	 * @param now the present in nanoseconds
	 */
	public void reportReceived(String host, Message.GatewayReport report, long now) {
		this.reports.put(host, new Report(report, now));
	}

	/**
	 * Records the loss of the last connection to a gateway.
	 * @param host the name of its entry host
	 */
	public void connectionLost(String host) {
		this.reports.remove(host);
	}

	/**
	 * Returns the gateways that callers of a data centre are to use: those of the region,
	 * else of any.
	 * @param region the region of the callers
	 * @param now the present in nanoseconds
	 * @return the gateways, at least one if any takes callers
	 */
	public List<Gateway> availableGateways(String region, long now) {
		List<Gateway> taking = this.members.values()
			.stream()
			.filter((gateway) -> takesCallers(gateway, now))
			.sorted(Comparator.comparing(Gateway::host))
			.toList();
		Predicate<Gateway> near = (gateway) -> gateway.region().equals(region);
		return taking.stream().anyMatch(near) ? taking.stream().filter(near).toList() : taking;
	}

	/**
	 * Returns the number of other gateways with a fresh report.
	 * @param now the present in nanoseconds
	 * @return the number of gateways
	 */
	public int freshReportCount(long now) {
		return (int) this.reports.values().stream().filter((report) -> now - report.at() < REPORT_NANOS).count();
	}

	/**
	 * Returns the number of gateways that use part of a rate, this one included.
	 * @return the number of members
	 */
	public int size() {
		return this.members.size() + (this.members.containsKey(this.self) ? 0 : 1);
	}

	/**
	 * Returns the number of gateways in a region that take callers, this one included.
	 * @param region the region
	 * @return the number, at least one
	 */
	public int regionSize(String region) {
		return Math.max(1, (int) this.members.values().stream().filter((each) -> each.region().equals(region)).count());
	}

	/**
	 * Returns what the other gateways of a region lately told of the part of each
	 * service's objects that the region serves itself.
	 * @param region the region
	 * @param now the present in nanoseconds
	 * @return the parts from 0 to 1 by service, a map for each gateway
	 */
	public List<Map<String, Double>> ownShares(String region, long now) {
		return others().stream()
			.filter((gateway) -> gateway.region().equals(region))
			.map((gateway) -> this.reports.get(gateway.host()))
			.filter((report) -> report != null && now - report.at() < REPORT_NANOS)
			.map((report) -> report.report()
				.ownShares()
				.entrySet()
				.stream()
				.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue() / SHARE_UNITS)))
			.toList();
	}

	/**
	 * Returns shares as a report tells them.
	 * @param shares the parts from 0 to 1 by service
	 * @return the parts in a thousand
	 */
	public static Map<String, Long> toPerMille(Map<String, Double> shares) {
		return shares.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> Math.round(entry.getValue() * SHARE_UNITS)));
	}

	/**
	 * Returns the members but this gateway.
	 * @return the members but this gateway
	 */
	public List<Gateway> others() {
		return this.members.values().stream().filter((gateway) -> !gateway.host().equals(this.self)).toList();
	}

	/**
	 * Returns a member.
	 * @param host the name of its entry host
	 * @return the member, if the store knows it
	 */
	public Optional<Gateway> member(String host) {
		return Optional.ofNullable(this.members.get(host));
	}

	private boolean takesCallers(Gateway gateway, long now) {
		if (gateway.host().equals(this.self)) {
			return !gateway.leaving();
		}
		Report report = this.reports.get(gateway.host());
		if (report != null && now - report.at() < REPORT_NANOS) {
			return report.report().ready() && !report.report().leaving();
		}
		Long seen = this.seenAt.get(gateway.host());
		return !gateway.leaving() && seen != null && now - seen < INTRODUCTION_NANOS;
	}

	private record Report(Message.GatewayReport report, long at) {
	}

}
