package io.masticlane.benchmark;

import java.io.IOException;
import java.util.Arrays;
import java.util.UUID;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.fixture.Fleet;

/**
 * Measures the latency and the store calls that the claim of an operation adds to a
 * request, with seven entry hosts, one caller and no other load.
 */
public final class OperationsBenchmark {

	private static final int ROUNDS = 1_000;

	private static final int WARM_UP_ROUNDS = 1_000;

	private static final double NANOS_PER_MILLI = 1e6;

	private OperationsBenchmark() {
	}

	/**
	 * Runs the benchmark and prints the results.
	 * @param arguments not used
	 * @throws Exception if the deployment fails
	 */
	public static void main(String[] arguments) throws Exception {
		try (Fleet fleet = Fleet.start(7, 12, 7, 0, UnaryOperator.identity())) {
			String localPrefix = fleet.operationPrefix(0, 0);
			String remotePrefix = fleet.operationPrefix(1, 0);
			measure(fleet, "warm-up", WARM_UP_ROUNDS, (round) -> post(localPrefix));
			measure(fleet, "no claim", ROUNDS, (round) -> Fleet.Call.get("/ledger/dues"));
			measure(fleet, "claim at the owner", ROUNDS, (round) -> post(localPrefix));
			measure(fleet, "claim at another entry host", ROUNDS, (round) -> post(remotePrefix));
			measure(fleet, "claim in the store", ROUNDS, (round) -> post(""));
		}
		System.exit(0);
	}

	private static Fleet.Call post(String prefix) {
		return Fleet.Call.post("/ledger/dues", prefix + UUID.randomUUID());
	}

	private static void measure(Fleet fleet, String name, int rounds, IntFunction<Fleet.Call> calls) throws Exception {
		long callsBefore = fleet.store().calls();
		long start = System.nanoTime();
		long[] latencies = IntStream.range(0, rounds)
			.mapToLong((round) -> latencyNanos(fleet, calls.apply(round)))
			.toArray();
		double seconds = (System.nanoTime() - start) / NANOS_PER_MILLI / 1_000;
		Arrays.sort(latencies);
		System.out.printf("%s: p50 %.2f ms, p99 %.2f ms; store calls %d in %.1f s%n", name,
				latencies[rounds / 2] / NANOS_PER_MILLI, latencies[rounds * 99 / 100] / NANOS_PER_MILLI,
				fleet.store().calls() - callsBefore, seconds);
	}

	private static long latencyNanos(Fleet fleet, Fleet.Call call) {
		long start = System.nanoTime();
		try {
			int status = fleet.send(0, call.withKeyOf("org-1")).statusCode();
			if (status != 200) {
				throw new IllegalStateException("status " + status);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		return System.nanoTime() - start;
	}

}
