package io.masticlane.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Sends requests through a demo deployment and verifies every response.
 */
public final class Demonstration {

	private static final int OK = 200;

	private static final long READY_TIMEOUT_MILLIS = 10_000;

	private static final int REQUESTS_PER_OPERATION = 4;

	private static final long MAXIMUM_LATENCY_MICROS = TimeUnit.SECONDS.toMicros(60);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private final Histogram latency = new Histogram(MAXIMUM_LATENCY_MICROS, 3);

	private int failures;

	/**
	 * Runs the demonstration.
	 * @param requests the number of requests to send
	 * @param output the stream for the results
	 * @return whether every response was correct and no operation ran more than once
	 * @throws IOException if a socket fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean run(int requests, PrintStream output) throws IOException, InterruptedException {
		try (DemoDeployment deployment = new DemoDeployment()) {
			String base = "http://" + deployment.entryHost().callerAddress();
			awaitReady("http://" + deployment.entryHost().operatorAddress());
			output.print("look-up: " + get(base + "/v1/entry-hosts").body());
			for (int number = 0; number < requests; number++) {
				sendRequest(base, number);
			}
			int repeated = repeatedOperations(deployment);
			print(output, requests, repeated);
			return this.failures == 0 && repeated == 0;
		}
	}

	private void sendRequest(String base, int number) throws IOException, InterruptedException {
		long started = System.nanoTime();
		String path = (number % REQUESTS_PER_OPERATION == 0) ? "/ledger/dues/" + number : "/ledger/balance/" + number;
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(base + path))
			.header("Authorization", "Bearer " + DemoDeployment.API_KEY);
		if (number % REQUESTS_PER_OPERATION == 0) {
			request.header("Idempotency-Key", UUID.randomUUID().toString())
				.POST(HttpRequest.BodyPublishers.ofString("due " + number));
		}
		HttpResponse<String> response = this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
		this.latency.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - started));
		boolean correct = response.statusCode() == OK && response.body().endsWith(" demo " + path + "\n");
		this.outcomes.merge(correct ? "answered" : "wrong (status " + response.statusCode() + ")", 1, Integer::sum);
		this.failures += correct ? 0 : 1;
	}

	private void print(PrintStream output, int requests, int repeated) {
		output.println("requests: " + requests);
		this.outcomes.forEach((outcome, count) -> output.println("  " + outcome + ": " + count));
		output.println("operations run more than once: " + repeated);
		output.printf("latency: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n", latencyMillis(50), latencyMillis(99),
				latencyMillis(99.9));
	}

	private double latencyMillis(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / 1_000.0;
	}

	private static int repeatedOperations(DemoDeployment deployment) {
		return (int) deployment.backendServers()
			.stream()
			.flatMap((server) -> server.runs().values().stream())
			.filter((runs) -> runs > 1)
			.count();
	}

	private void awaitReady(String operatorBase) throws IOException, InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
		while (get(operatorBase + "/health/ready").statusCode() != OK) {
			if (System.nanoTime() - deadline > 0) {
				throw new IOException("the entry host was not ready within " + READY_TIMEOUT_MILLIS + " ms");
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private HttpResponse<String> get(String uri) throws IOException, InterruptedException {
		return this.client.send(HttpRequest.newBuilder(URI.create(uri)).build(), HttpResponse.BodyHandlers.ofString());
	}

}
