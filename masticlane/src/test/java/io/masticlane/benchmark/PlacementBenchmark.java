package io.masticlane.benchmark;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.sun.management.ThreadMXBean;
import io.masticlane.placement.Placement;
import io.masticlane.placement.PlacementRequest;
import io.masticlane.placement.Rendezvous;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.PathRoute;
import io.masticlane.plan.RouteKind;
import io.masticlane.registry.RegisteredServer;

/**
 * Measures the time and the allocated memory for placing a request at one of many servers
 * and recording its response, on one thread.
 */
public final class PlacementBenchmark {

	private static final int ROUNDS = 9;

	private static final int REQUESTS = 50_000;

	private static final int SERVERS_IN_REGION = 20;

	private static final int OBJECTS = 400;

	private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private static final List<String> REGIONS = List.of("west", "east", "north");

	private final PathRoute route = new PathRoute("read", "/read/", RouteKind.IDEMPOTENT, 1_200, 600, 2,
			List.of(new PathRoute.WeightedService("s", 1)), 2, true, true, Set.of());

	private final Placement placement = new Placement("west", 1.5, 5);

	private long now = TimeUnit.MINUTES.toNanos(1);

	private PlacementBenchmark() {
		REGIONS.forEach((region) -> IntStream.range(0, SERVERS_IN_REGION)
			.forEach((each) -> this.placement.add(new ServerState(server(region, each), region, 0))));
		this.placement.update(List.of(), this.now);
	}

	/**
	 * Runs the benchmark and prints the results.
	 * @param arguments not used
	 */
	public static void main(String[] arguments) {
		PlacementBenchmark benchmark = new PlacementBenchmark();
		IntStream.range(0, 2).forEach((warmUp) -> benchmark.placeRequests());
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long[] nanos = new long[ROUNDS];
		long allocatedBefore = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
		for (int round = 0; round < ROUNDS; round++) {
			long start = System.nanoTime();
			benchmark.placeRequests();
			nanos[round] = (System.nanoTime() - start) / REQUESTS;
		}
		long allocated = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - allocatedBefore;
		Arrays.sort(nanos);
		System.out.printf("placing a request: %d ns (%d to %d), %d bytes%n", nanos[ROUNDS / 2], nanos[0],
				nanos[ROUNDS - 1], allocated / ROUNDS / REQUESTS);
	}

	private void placeRequests() {
		for (int request = 0; request < REQUESTS; request++) {
			this.now += INTERVAL_NANOS;
			long object = Rendezvous.hash("object-" + request % OBJECTS);
			ServerState server = this.placement
				.choose(new PlacementRequest(this.route, "s", object, request, Set.of(), Set.of(), 600, 8.1, 2),
						this.now)
				.orElseThrow()
				.server();
			server.recordRequestSent(this.now);
			server.recordRequestEnded();
			server.recordReportedLoad(1, this.now);
			server.recordResponse(object, true, this.now, this.now);
		}
	}

	private static RegisteredServer server(String region, int number) {
		return new RegisteredServer(region + "-" + number, "s", InetSocketAddress.createUnresolved("10.0.0.1", 80),
				region, 9, false, 0, 1, 1);
	}

}
