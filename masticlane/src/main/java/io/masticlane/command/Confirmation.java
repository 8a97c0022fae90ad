package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.EntryHost;

/**
 * Waits until every entry host has a revision in force, and reports those that do not.
 */
final class Confirmation {

	private static final long POLL_INTERVAL_MILLIS = 100;

	private final EntryHostStatuses statuses;

	private final List<EntryHost> hosts;

	private final int configuredCount;

	/**
	 * Creates a new confirmation.
	 * @param statuses queries the entry hosts
	 * @param hosts the entry hosts of the current and of the next configuration
	 * @param configuredCount the number of entry hosts of the next configuration
	 */
	Confirmation(EntryHostStatuses statuses, List<EntryHost> hosts, int configuredCount) {
		this.statuses = statuses;
		this.hosts = hosts;
		this.configuredCount = configuredCount;
	}

	ExitStatus await(long revision, long seconds, PrintStream output) throws InterruptedException {
		if (seconds == 0) {
			output.println("no entry host was asked to confirm");
			return ExitStatus.SUCCESS;
		}
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		List<EntryHostStatuses.Status> unconfirmed = unconfirmed(revision);
		while (!unconfirmed.isEmpty() && deadline - System.nanoTime() > 0) {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
			unconfirmed = unconfirmed(revision);
		}
		return report(unconfirmed, output);
	}

	private List<EntryHostStatuses.Status> unconfirmed(long revision) {
		return this.statuses.query(this.hosts).stream().filter((status) -> !status.confirms(revision)).toList();
	}

	private ExitStatus report(List<EntryHostStatuses.Status> unconfirmed, PrintStream output) {
		int confirmed = this.hosts.size() - unconfirmed.size();
		output.println("in force at " + confirmed + " of " + this.hosts.size() + " entry hosts");
		unconfirmed.forEach((status) -> output.println("not confirmed: " + status.describe()));
		if (unconfirmed.isEmpty()) {
			return ExitStatus.SUCCESS;
		}
		boolean majority = confirmed > this.hosts.size() / 2
				&& this.configuredCount - unconfirmed.size() > this.configuredCount / 2;
		output.println(majority ? "a majority confirmed: the others receive the change, or refuse keyed requests"
				: "no majority confirmed: a key that this change revokes may still be accepted by the others");
		return ExitStatus.UNCONFIRMED;
	}

}
