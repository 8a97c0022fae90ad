package io.masticlane.bench;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Measures what one entry host adds to a request, and the look-ups that it answers.
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
	 * @param millis the duration of each round
	 */
	public LoadBenchmark(PrintStream output, long millis) {
		this.output = output;
		this.millis = millis;
	}

	/**
	 * Sends requests straight to the backend servers and through the entry host, in
	 * turns.
	 * @param rate the requests per second
	 * @return whether every request was answered
	 */
	public boolean requests(double rate) {
		Histogram direct = new Histogram(3);
		Histogram through = new Histogram(3);
		try (LoadClient directClient = client(BenchDeployment.backendServers(), "/ledger/balance");
				LoadClient throughClient = client(List.of(BenchDeployment.ENTRY_HOST), "/ledger/balance")) {
			directClient.openLoop(rate, this.millis);
			throughClient.openLoop(rate, this.millis);
			for (int round = 0; round < ROUNDS; round++) {
				direct.add(directClient.openLoop(rate, this.millis));
				through.add(throughClient.openLoop(rate, this.millis));
			}
			this.output.printf("%-8s %10s %10s %10s %10s %10s%n", "path", "requests", "per second", "p50 ms", "p99 ms",
					"p99.9 ms");
			line("direct", direct);
			line("entry", through);
			this.output.printf("%-8s %10s %10s %10.3f %10.3f %10.3f%n", "added", "", "", added(direct, through, 50),
					added(direct, through, 99), added(direct, through, 99.9));
			return whole(directClient) && whole(throughClient);
		}
	}

	/**
	 * Sends look-ups as fast as the entry host answers.
	 * @return whether every look-up was answered
	 */
	public boolean lookUps() {
		try (LoadClient client = client(List.of(BenchDeployment.ENTRY_HOST), "/v1/entry-hosts")) {
			client.closedLoop(this.millis);
			Histogram latency = new Histogram(3);
			for (int round = 0; round < ROUNDS; round++) {
				latency.add(client.closedLoop(this.millis));
			}
			this.output.printf("look-ups per second over %d connections: %.0f; p50 %.3f ms, p99 %.3f ms%n", CONNECTIONS,
					perSecond(latency), latency.getValueAtPercentile(50) / NANOS_PER_MILLI,
					latency.getValueAtPercentile(99) / NANOS_PER_MILLI);
			return whole(client);
		}
	}

	private LoadClient client(List<InetSocketAddress> addresses, String path) {
		return new LoadClient(addresses, CONNECTIONS, path, BenchDeployment.KEY);
	}

	private boolean whole(LoadClient client) {
		client.failures().forEach((status, count) -> this.output.println("failed: " + status + ": " + count));
		return client.failures().isEmpty();
	}

	private void line(String name, Histogram latency) {
		this.output.printf("%-8s %10d %10.0f %10.3f %10.3f %10.3f%n", name, latency.getTotalCount(), perSecond(latency),
				latency.getValueAtPercentile(50) / NANOS_PER_MILLI, latency.getValueAtPercentile(99) / NANOS_PER_MILLI,
				latency.getValueAtPercentile(99.9) / NANOS_PER_MILLI);
	}

	private double perSecond(Histogram latency) {
		return latency.getTotalCount() * (double) TimeUnit.SECONDS.toMillis(1) / (ROUNDS * this.millis);
	}

	private static double added(Histogram direct, Histogram through, double percentile) {
		return (through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / NANOS_PER_MILLI;
	}

}
