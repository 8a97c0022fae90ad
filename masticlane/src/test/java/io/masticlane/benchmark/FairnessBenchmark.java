package io.masticlane.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.demo.BackendStandIn;
import io.masticlane.fixture.Fleet;

/**
 * Measures how the other organisations fare while one floods, with seven entry hosts and
 * twelve backend servers of three slots.
 */
public final class FairnessBenchmark {

	private static final int ENTRY_HOSTS = 7;

	private static final int BACKEND_SERVERS = 12;

	private static final int SLOTS = 3;

	private static final long SERVICE_MILLIS = 50;

	private static final double USUAL_REQUESTS_PER_SECOND = 40;

	private static final double FLOOD_REQUESTS_PER_SECOND = 1_200;

	private FairnessBenchmark() {
	}

	/**
	 * Runs the measurement and prints its figures.
	 * @param arguments the seconds of each phase
	 * @throws Exception if the deployment fails
	 */
	public static void main(String[] arguments) throws Exception {
		int seconds = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : 15;
		try (Fleet fleet = Fleet.start(ENTRY_HOSTS, BACKEND_SERVERS, SLOTS, SERVICE_MILLIS, UnaryOperator.identity())) {
			phase(fleet, "warm-up", 5, 0);
			phase(fleet, "undisturbed", seconds, 0);
			phase(fleet, "flood", seconds, FLOOD_REQUESTS_PER_SECOND);
			System.out.println("most running at a backend server: "
					+ fleet.backendServers().stream().mapToInt(BackendStandIn::mostRunning).max().orElse(0));
		}
		System.exit(0);
	}

	private static void phase(Fleet fleet, String name, int seconds, double flood) throws InterruptedException {
		int shed = fleet.backendServers().stream().mapToInt(BackendStandIn::shed).sum();
		int begun = fleet.backendServers().stream().mapToInt(BackendStandIn::begun).sum();
		List<LoadGenerator> loads = new ArrayList<>(Fleet.ORGANISATIONS.stream()
			.skip(1)
			.map((organisation) -> LoadGenerator.start(fleet, organisation, USUAL_REQUESTS_PER_SECOND,
					IntStream.range(0, ENTRY_HOSTS).toArray()))
			.toList());
		if (flood > 0) {
			loads.add(LoadGenerator.start(fleet, Fleet.ORGANISATIONS.get(0), flood,
					IntStream.range(0, ENTRY_HOSTS).toArray()));
		}
		TimeUnit.SECONDS.sleep(seconds);
		loads.forEach(LoadGenerator::stop);
		loads.forEach(LoadGenerator::finish);
		LoadGenerator worst = loads.stream()
			.limit(Fleet.ORGANISATIONS.size() - 1)
			.max((first, second) -> Double.compare(first.millis(99), second.millis(99)))
			.orElseThrow();
		System.out.printf("%s: worst-served of the other seven p50 %.1f ms, p99 %.1f ms; begun %d, shed %d%n", name,
				worst.millis(50), worst.millis(99),
				fleet.backendServers().stream().mapToInt(BackendStandIn::begun).sum() - begun,
				fleet.backendServers().stream().mapToInt(BackendStandIn::shed).sum() - shed);
		loads.forEach((load) -> System.out.println("  " + load));
	}

}
