package io.masticlane.bench;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Measures the latency that one entry host adds to requests, and the rate at which it
 * responds to look-ups.
 */
public final class LoadBenchmark {

	private static final int CONNECTIONS = 64;

	private static final int ROUNDS = 5;

	private static final double NANOS_PER_MILLI = 1e6;

	private final PrintStream output;

	private final long millis;

	/**
	 * Creates a new benchmark.
	 * @param output the stream for the results
	 * @param millis the duration of each round in milliseconds
	 */
	public LoadBenchmark(PrintStream output, long millis) {
		this.output = output;
		this.millis = millis;
	}

	/**
	 * Measures in alternating rounds requests sent directly to the backend servers and
	 * requests sent through the entry host.
	 * @param requestsPerSecond the rate
	 * @return whether every request succeeded
	 */
	public boolean measureRequests(double requestsPerSecond) {
		Histogram direct = new Histogram(3);
		Histogram through = new Histogram(3);
		try (LoadClient directClient = client(BenchDeployment.backendServers(), "/ledger/balance");
				LoadClient throughClient = client(List.of(BenchDeployment.ENTRY_HOST), "/ledger/balance")) {
			directClient.openLoop(requestsPerSecond, this.millis);
			throughClient.openLoop(requestsPerSecond, this.millis);
			for (int round = 0; round < ROUNDS; round++) {
				direct.add(directClient.openLoop(requestsPerSecond, this.millis));
				through.add(throughClient.openLoop(requestsPerSecond, this.millis));
			}
			this.output.printf("%-8s %10s %10s %10s %10s %10s%n", "path", "requests", "per second", "p50 ms", "p99 ms",
					"p99.9 ms");
			printRow("direct", direct);
			printRow("entry", through);
			this.output.printf("%-8s %10s %10s %10.3f %10.3f %10.3f%n", "added", "", "",
					addedMillis(direct, through, 50), addedMillis(direct, through, 99),
					addedMillis(direct, through, 99.9));
			return reportFailures(directClient) && reportFailures(throughClient);
		}
	}

	/**
	 * Measures look-ups, with the next one sent over a connection as soon as the previous
	 * response arrives.
	 * @return whether every look-up succeeded
	 */
	public boolean measureLookUps() {
		try (LoadClient client = client(List.of(BenchDeployment.ENTRY_HOST), "/v1/entry-hosts")) {
			client.closedLoop(this.millis);
			Histogram latency = new Histogram(3);
			for (int round = 0; round < ROUNDS; round++) {
				latency.add(client.closedLoop(this.millis));
			}
			this.output.printf("look-ups per second over %d connections: %.0f; p50 %.3f ms, p99 %.3f ms%n", CONNECTIONS,
					perSecond(latency), latency.getValueAtPercentile(50) / NANOS_PER_MILLI,
					latency.getValueAtPercentile(99) / NANOS_PER_MILLI);
			return reportFailures(client);
		}
	}

	private LoadClient client(List<InetSocketAddress> addresses, String path) {
		return new LoadClient(addresses, CONNECTIONS, path, BenchDeployment.API_KEY);
	}

	private boolean reportFailures(LoadClient client) {
		client.failures().forEach((status, count) -> this.output.println("failed: " + status + ": " + count));
		return client.failures().isEmpty();
	}

	private void printRow(String name, Histogram latency) {
		this.output.printf("%-8s %10d %10.0f %10.3f %10.3f %10.3f%n", name, latency.getTotalCount(), perSecond(latency),
				latency.getValueAtPercentile(50) / NANOS_PER_MILLI, latency.getValueAtPercentile(99) / NANOS_PER_MILLI,
				latency.getValueAtPercentile(99.9) / NANOS_PER_MILLI);
	}

	private double perSecond(Histogram latency) {
		return latency.getTotalCount() * (double) TimeUnit.SECONDS.toMillis(1) / (ROUNDS * this.millis);
	}

	private static double addedMillis(Histogram direct, Histogram through, double percentile) {
		return (through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / NANOS_PER_MILLI;
	}

}
