package io.masticlane.report;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.masticlane.operator.StatusDocument;

/**
 * Follows a revision until it is in force at every entry host.
 */
public final class DrainProgress {

	private static final long STEP_MILLIS = 200;

	private final EntryHostClient client = new EntryHostClient();

	private final List<String> addresses;

	private final PrintStream output;

	/**
	 * Creates a new progress.
	 * @param addresses the operators' addresses of the entry hosts
	 * @param output the stream for each step
	 */
	public DrainProgress(List<String> addresses, PrintStream output) {
		this.addresses = addresses;
		this.output = output;
	}

	/**
	 * Waits until a revision is in force at every entry host.
	 * @param revision the revision
	 * @param waitMillis the longest time to wait
	 * @return the addresses of the entry hosts that did not confirm
	 * @throws InterruptedException if the thread is interrupted
	 */
	public List<String> awaitInForce(long revision, long waitMillis) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		int printed = -1;
		List<String> missing = missing(revision);
		while (true) {
			if (missing.size() != printed) {
				printed = missing.size();
				this.output.println("in force at " + (this.addresses.size() - printed) + " of " + this.addresses.size()
						+ " entry hosts");
			}
			if (missing.isEmpty() || System.nanoTime() - deadline > 0) {
				return missing;
			}
			TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
			missing = missing(revision);
		}
	}

	private List<String> missing(long revision) {
		return this.client.read(this.addresses, "/status", StatusDocument.class)
			.stream()
			.filter((answer) -> answer.document().map((status) -> status.revision() < revision).orElse(true))
			.map(EntryHostClient.Answer::address)
			.toList();
	}

}
