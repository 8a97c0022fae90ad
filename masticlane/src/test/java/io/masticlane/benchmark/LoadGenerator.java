package io.masticlane.benchmark;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.masticlane.fixture.Await;
import io.masticlane.fixture.Fleet;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * The callers of one organisation, which send idempotent requests at a constant rate
 * without waiting for responses.
 */
public final class LoadGenerator {

	private static final long MAXIMUM_LATENCY_MICROS = TimeUnit.SECONDS.toMicros(60);

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(5))
		.build();

	private final Histogram latency = new ConcurrentHistogram(MAXIMUM_LATENCY_MICROS, 3);

	private final Map<String, Integer> results = new ConcurrentSkipListMap<>();

	private final AtomicInteger pending = new AtomicInteger();

	private final Fleet fleet;

	private final String organisation;

	private final Thread thread;

	private volatile boolean stopped;

	private LoadGenerator(Fleet fleet, String organisation, double requestsPerSecond, int[] entryHosts) {
		this.fleet = fleet;
		this.organisation = organisation;
		this.thread = new Thread(() -> run(requestsPerSecond, entryHosts), "load-" + organisation);
		this.thread.setDaemon(true);
	}

	/**
	 * Creates a new load generator and starts it.
	 * @param fleet the deployment
	 * @param organisation the organisation
	 * @param requestsPerSecond the constant rate
	 * @param entryHosts the indexes of the entry hosts to use in turn
	 * @return the load generator
	 */
	public static LoadGenerator start(Fleet fleet, String organisation, double requestsPerSecond, int... entryHosts) {
		LoadGenerator load = new LoadGenerator(fleet, organisation, requestsPerSecond, entryHosts);
		load.thread.start();
		return load;
	}

	/**
	 * Stops sending.
	 */
	public void stop() {
		this.stopped = true;
	}

	/**
	 * Stops sending and waits for the outstanding responses.
	 */
	public void stopAndAwait() {
		stop();
		Await.until("every request has completed", () -> !this.thread.isAlive() && this.pending.get() == 0);
	}

	/**
	 * Returns the number of requests by result: the HTTP status, or the text of the
	 * exception.
	 * @return the number of requests by result
	 */
	public Map<String, Integer> results() {
		return Map.copyOf(this.results);
	}

	/**
	 * Returns the number of requests without a response of status 200.
	 * @return the number of failed requests
	 */
	public int failed() {
		return this.results.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals("200"))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	/**
	 * Returns a percentile of the latency of responses with status 200, measured from the
	 * time at which the request was due.
	 * @param percentile the percentile, from 0 to 100
	 * @return the latency in milliseconds
	 */
	public double latencyMillis(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / 1_000.0;
	}

	@Override
	public String toString() {
		return this.organisation + " p50 " + latencyMillis(50) + " ms, p99 " + latencyMillis(99) + " ms, results "
				+ this.results;
	}

	private void run(double requestsPerSecond, int[] entryHosts) {
		long interval = (long) (TimeUnit.SECONDS.toNanos(1) / requestsPerSecond);
		long next = System.nanoTime();
		for (int number = 0; !this.stopped; number++) {
			send(entryHosts[number % entryHosts.length], number, next);
			next += interval;
			long wait = next - System.nanoTime();
			if (wait > 0) {
				LockSupport.parkNanos(wait);
			}
		}
	}

	private void send(int entryHost, int number, long due) {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + this.fleet.callerAddress(entryHost) + "/ledger/" + number))
			.header("Authorization", "Bearer " + Fleet.key(this.organisation))
			.timeout(Duration.ofSeconds(30))
			.build();
		this.pending.incrementAndGet();
		this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).whenComplete((response, failure) -> {
			this.results.merge((failure != null) ? failure.toString() : Integer.toString(response.statusCode()), 1,
					Integer::sum);
			if (failure == null && response.statusCode() == 200) {
				long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due);
				this.latency.recordValue(Math.min(micros, MAXIMUM_LATENCY_MICROS));
			}
			this.pending.decrementAndGet();
		});
	}

}
