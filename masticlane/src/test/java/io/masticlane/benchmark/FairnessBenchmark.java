package io.masticlane.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.demo.BackendStandIn;
import io.masticlane.fixture.Fleet;

/**
 * Measures the latency of the other organisations while one sends more requests than the
 * deployment can serve, with seven entry hosts and twelve backend servers of three slots
 * each.
 */
public final class FairnessBenchmark {

	private static final int ENTRY_HOSTS = 7;

	private static final int BACKEND_SERVERS = 12;

	private static final int SLOTS = 3;

	private static final long SERVICE_MILLIS = 50;

	private static final double BASELINE_REQUESTS_PER_SECOND = 40;

	private static final double FLOOD_REQUESTS_PER_SECOND = 1_200;

	private FairnessBenchmark() {
	}

	/**
	 * Runs the benchmark and prints the results.
	 * @param arguments the duration of each phase in seconds, optional
	 * @throws Exception if the deployment fails
	 */
	public static void main(String[] arguments) throws Exception {
		int seconds = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : 15;
		try (Fleet fleet = Fleet.start(ENTRY_HOSTS, BACKEND_SERVERS, SLOTS, SERVICE_MILLIS, UnaryOperator.identity())) {
			runPhase(fleet, "warm-up", 5, 0);
			runPhase(fleet, "undisturbed", seconds, 0);
			runPhase(fleet, "flood", seconds, FLOOD_REQUESTS_PER_SECOND);
			System.out.println("most requests running at once at a backend server: "
					+ fleet.backendServers().stream().mapToInt(BackendStandIn::maximumRunning).max().orElse(0));
		}
		System.exit(0);
	}

	private static void runPhase(Fleet fleet, String name, int seconds, double flood) throws InterruptedException {
		int shedBefore = fleet.backendServers().stream().mapToInt(BackendStandIn::shed).sum();
		int startedBefore = fleet.backendServers().stream().mapToInt(BackendStandIn::started).sum();
		List<LoadGenerator> loads = new ArrayList<>(Fleet.ORGANISATIONS.stream()
			.skip(1)
			.map((organisation) -> LoadGenerator.start(fleet, organisation, BASELINE_REQUESTS_PER_SECOND,
					IntStream.range(0, ENTRY_HOSTS).toArray()))
			.toList());
		if (flood > 0) {
			loads.add(LoadGenerator.start(fleet, Fleet.ORGANISATIONS.get(0), flood,
					IntStream.range(0, ENTRY_HOSTS).toArray()));
		}
		TimeUnit.SECONDS.sleep(seconds);
		loads.forEach(LoadGenerator::stop);
		loads.forEach(LoadGenerator::stopAndAwait);
		LoadGenerator slowest = loads.stream()
			.limit(Fleet.ORGANISATIONS.size() - 1)
			.max((first, second) -> Double.compare(first.latencyMillis(99), second.latencyMillis(99)))
			.orElseThrow();
		System.out.printf(
				"%s: slowest of the other seven organisations p50 %.1f ms, p99 %.1f ms; started %d, shed %d%n", name,
				slowest.latencyMillis(50), slowest.latencyMillis(99),
				fleet.backendServers().stream().mapToInt(BackendStandIn::started).sum() - startedBefore,
				fleet.backendServers().stream().mapToInt(BackendStandIn::shed).sum() - shedBefore);
		loads.forEach((load) -> System.out.println("  " + load));
	}

}
