package io.masticlane.gateway;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.masticlane.fleet.GatewayFleet;
import io.masticlane.fleet.ReceivedReport;

/**
 * The reports that a relay has to forward, and the hosts that receive them: the reports
 * of its own region go to other regions, and all reports to the hosts of its region that
 * report to it. A host serves those that report to it whether it considers itself a relay
 * or not, so that no agreement about the relays is needed.
 */
final class ReportRelay {

	private final Map<String, ReceivedReport> newest = new HashMap<>();

	private final Map<String, ReceivedReport> forRegion = new LinkedHashMap<>();

	private final Map<String, ReceivedReport> forOtherRegions = new LinkedHashMap<>();

	private final Map<String, Long> reporters = new HashMap<>();

	private final Map<String, Long> remoteRelays = new HashMap<>();

	/**
	 * Returns whether a report is newer than the newest one of its origin.
	 * @param report the report
	 * @return whether the report is new
	 */
	boolean isNew(ReceivedReport report) {
		ReceivedReport previous = this.newest.get(report.origin().host());
		return previous == null || report.isNewerThan(previous);
	}

	/**
	 * Adds a report of this host or of one in its region that reports to it.
	 * @param report the report
	 */
	void addOfRegion(ReceivedReport report) {
		addOfOtherRegion(report);
		this.forOtherRegions.put(report.origin().host(), report);
	}

	/**
	 * Adds a report of a host in another region.
	 * @param report the report
	 */
	void addOfOtherRegion(ReceivedReport report) {
		addHeard(report);
		this.forRegion.put(report.origin().host(), report);
	}

	/**
	 * Adds a report that another relay of this region forwarded, and which is not
	 * forwarded again.
	 * @param report the report
	 */
	void addHeard(ReceivedReport report) {
		this.newest.put(report.origin().host(), report);
	}

	void reporterHeard(String host, long now) {
		this.reporters.put(host, now);
	}

	void remoteRelayHeard(String host, long now) {
		this.remoteRelays.put(host, now);
	}

	/**
	 * Returns the hosts of the region that report to this one.
	 * @param now the current time in nanoseconds
	 * @return the names of the hosts
	 */
	Set<String> reporters(long now) {
		return recent(this.reporters, now);
	}

	/**
	 * Returns the relays of other regions that sent reports to this host.
	 * @param now the current time in nanoseconds
	 * @return the names of the hosts
	 */
	Set<String> remoteRelays(long now) {
		return recent(this.remoteRelays, now);
	}

	/**
	 * Removes and returns the reports for the hosts of the region.
	 * @return the reports since the last call
	 */
	List<ReceivedReport> takeForRegion() {
		return take(this.forRegion);
	}

	/**
	 * Removes and returns the reports for the relays of other regions.
	 * @return the reports since the last call
	 */
	List<ReceivedReport> takeForOtherRegions() {
		return take(this.forOtherRegions);
	}

	private static List<ReceivedReport> take(Map<String, ReceivedReport> reports) {
		List<ReceivedReport> taken = List.copyOf(reports.values());
		reports.clear();
		return taken;
	}

	private static Set<String> recent(Map<String, Long> heardAt, long now) {
		heardAt.values().removeIf((at) -> now - at > GatewayFleet.REPORT_TTL_NANOS);
		return heardAt.keySet().stream().collect(Collectors.toUnmodifiableSet());
	}

}
