package io.masticlane.report;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.masticlane.operator.StatusDocument;

/**
 * Waits until a configuration revision is in force at every entry host, and prints the
 * progress.
 */
public final class DrainProgress {

	private static final long POLL_INTERVAL_MILLIS = 200;

	private final EntryHostClient client = new EntryHostClient();

	private final List<String> addresses;

	private final PrintStream output;

	/**
	 * Creates a new instance.
	 * @param addresses the operator addresses of the entry hosts
	 * @param output the stream to print each change to
	 */
	public DrainProgress(List<String> addresses, PrintStream output) {
		this.addresses = addresses;
		this.output = output;
	}

	/**
	 * Waits until a revision is in force at every entry host.
	 * @param revision the configuration revision
	 * @param waitMillis the maximum time to wait in milliseconds
	 * @return the addresses of the entry hosts that did not confirm the revision
	 * @throws InterruptedException if the thread is interrupted
	 */
	public List<String> awaitInForce(long revision, long waitMillis) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		int printedCount = -1;
		List<String> unconfirmed = unconfirmed(revision);
		while (true) {
			if (unconfirmed.size() != printedCount) {
				printedCount = unconfirmed.size();
				this.output.println("in force at " + (this.addresses.size() - printedCount) + " of "
						+ this.addresses.size() + " entry hosts");
			}
			if (unconfirmed.isEmpty() || System.nanoTime() - deadline > 0) {
				return unconfirmed;
			}
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
			unconfirmed = unconfirmed(revision);
		}
	}

	private List<String> unconfirmed(long revision) {
		return this.client.read(this.addresses, "/status", StatusDocument.class)
			.stream()
			.filter((response) -> response.document().map((status) -> status.revision() < revision).orElse(true))
			.map(EntryHostClient.Response::address)
			.toList();
	}

}
