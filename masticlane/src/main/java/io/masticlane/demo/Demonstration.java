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
 * Sends real requests through a demo deployment and checks every answer.
 */
public final class Demonstration {

	private static final int OK = 200;

	private static final long READY_MILLIS = 10_000;

	private static final int OPERATION_EVERY = 4;

	private static final long LARGEST_MICROS = TimeUnit.SECONDS.toMicros(60);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private final Histogram latency = new Histogram(LARGEST_MICROS, 3);

	private int wrong;

	/**
	 * Runs the demonstration.
	 * @param requests the requests to send
	 * @param output the stream for the results
	 * @return whether every answer was right
	 * @throws IOException if a socket fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean run(int requests, PrintStream output) throws IOException, InterruptedException {
		try (DemoDeployment deployment = new DemoDeployment()) {
			String base = "http://" + deployment.entryHost().callerAddress();
			awaitReady("http://" + deployment.entryHost().operatorAddress());
			output.print("look-up: " + get(base + "/v1/entry-hosts").body());
			for (int number = 0; number < requests; number++) {
				request(base, number);
			}
			int doubled = doubledOperations(deployment);
			print(output, requests, doubled);
			return this.wrong == 0 && doubled == 0;
		}
	}

	private void request(String base, int number) throws IOException, InterruptedException {
		long started = System.nanoTime();
		String path = (number % OPERATION_EVERY == 0) ? "/ledger/dues/" + number : "/ledger/balance/" + number;
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(base + path))
			.header("Authorization", "Bearer " + DemoDeployment.KEY);
		if (number % OPERATION_EVERY == 0) {
			request.header("Idempotency-Key", UUID.randomUUID().toString())
				.POST(HttpRequest.BodyPublishers.ofString("due " + number));
		}
		HttpResponse<String> response = this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
		this.latency.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - started));
		boolean right = response.statusCode() == OK && response.body().endsWith(" demo " + path + "\n");
		this.outcomes.merge(right ? "answered" : "wrong (status " + response.statusCode() + ")", 1, Integer::sum);
		this.wrong += right ? 0 : 1;
	}

	private void print(PrintStream output, int requests, int doubled) {
		output.println("requests: " + requests);
		this.outcomes.forEach((outcome, count) -> output.println("  " + outcome + ": " + count));
		output.println("operations run more than once: " + doubled);
		output.printf("latency: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n", millis(50), millis(99), millis(99.9));
	}

	private double millis(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / 1_000.0;
	}

	private static int doubledOperations(DemoDeployment deployment) {
		return (int) deployment.backendServers()
			.stream()
			.flatMap((server) -> server.runs().values().stream())
			.filter((runs) -> runs > 1)
			.count();
	}

	private void awaitReady(String operators) throws IOException, InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
		while (get(operators + "/health/ready").statusCode() != OK) {
			if (System.nanoTime() - deadline > 0) {
				throw new IOException("the entry host is not ready after " + READY_MILLIS + " ms");
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private HttpResponse<String> get(String uri) throws IOException, InterruptedException {
		return this.client.send(HttpRequest.newBuilder(URI.create(uri)).build(), HttpResponse.BodyHandlers.ofString());
	}

}
