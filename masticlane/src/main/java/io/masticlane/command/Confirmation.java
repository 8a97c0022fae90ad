package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.EntryHost;

/**
 * Waits until every entry host has a revision in force, and tells which has not.
 */
final class Confirmation {

	private static final long STEP_MILLIS = 100;

	private final EntryHostStatuses statuses;

	private final List<EntryHost> hosts;

	private final int configured;

	/**
	 * Creates a new confirmation.
	 * @param statuses asks the entry hosts
	 * @param hosts the entry hosts of the present and of the next configuration
	 * @param configured the number of entry hosts of the next configuration
	 */
	Confirmation(EntryHostStatuses statuses, List<EntryHost> hosts, int configured) {
		this.statuses = statuses;
		this.hosts = hosts;
		this.configured = configured;
	}

	ExitStatus await(long revision, long seconds, PrintStream output) throws InterruptedException {
		if (seconds == 0) {
			output.println("no entry host was asked to confirm");
			return ExitStatus.SUCCESS;
		}
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		List<EntryHostStatuses.Status> missing = missing(revision);
		while (!missing.isEmpty() && deadline - System.nanoTime() > 0) {
			TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
			missing = missing(revision);
		}
		return report(missing, output);
	}

	private List<EntryHostStatuses.Status> missing(long revision) {
		return this.statuses.of(this.hosts).stream().filter((status) -> !status.confirms(revision)).toList();
	}

	private ExitStatus report(List<EntryHostStatuses.Status> missing, PrintStream output) {
		int confirmed = this.hosts.size() - missing.size();
		output.println("in force at " + confirmed + " of " + this.hosts.size() + " entry hosts");
		missing.forEach((status) -> output.println("not confirmed: " + status.text()));
		if (missing.isEmpty()) {
			return ExitStatus.SUCCESS;
		}
		boolean majority = confirmed > this.hosts.size() / 2 && this.configured - missing.size() > this.configured / 2;
		output.println(majority ? "a majority confirmed: the others hear of it, or refuse keyed requests"
				: "no majority confirmed: a key that this change withdraws may still work at the others");
		return ExitStatus.UNCONFIRMED;
	}

}
