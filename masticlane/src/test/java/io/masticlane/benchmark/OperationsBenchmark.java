package io.masticlane.benchmark;

import java.io.IOException;
import java.util.Arrays;
import java.util.UUID;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.fixture.Fleet;

/**
 * Measures what a claim adds to a request and costs the store, with seven entry hosts,
 * one caller and no other load.
 */
public final class OperationsBenchmark {

	private static final int ROUNDS = 1_000;

	private static final int WARM_UP = 1_000;

	private static final double NANOS_PER_MILLI = 1e6;

	private OperationsBenchmark() {
	}

	/**
	 * Runs the measurement and prints its figures.
	 * @param arguments none
	 * @throws Exception if the deployment fails
	 */
	public static void main(String[] arguments) throws Exception {
		try (Fleet fleet = Fleet.start(7, 12, 7, 0, UnaryOperator.identity())) {
			String here = fleet.operationPrefix(0, 0);
			String elsewhere = fleet.operationPrefix(1, 0);
			measure(fleet, "warm-up", WARM_UP, (round) -> post(here));
			measure(fleet, "no claim", ROUNDS, (round) -> Fleet.Call.get("/ledger/dues"));
			measure(fleet, "claim at the owner", ROUNDS, (round) -> post(here));
			measure(fleet, "claim at another entry host", ROUNDS, (round) -> post(elsewhere));
			measure(fleet, "claim in the store", ROUNDS, (round) -> post(""));
		}
		System.exit(0);
	}

	private static Fleet.Call post(String prefix) {
		return Fleet.Call.post("/ledger/dues", prefix + UUID.randomUUID());
	}

	private static void measure(Fleet fleet, String name, int rounds, IntFunction<Fleet.Call> calls) throws Exception {
		long before = fleet.store().calls();
		long begun = System.nanoTime();
		long[] nanos = IntStream.range(0, rounds).mapToLong((round) -> time(fleet, calls.apply(round))).toArray();
		double seconds = (System.nanoTime() - begun) / NANOS_PER_MILLI / 1_000;
		Arrays.sort(nanos);
		System.out.printf("%s: p50 %.2f ms, p99 %.2f ms; store calls %d in %.1f s%n", name,
				nanos[rounds / 2] / NANOS_PER_MILLI, nanos[rounds * 99 / 100] / NANOS_PER_MILLI,
				fleet.store().calls() - before, seconds);
	}

	private static long time(Fleet fleet, Fleet.Call call) {
		long begun = System.nanoTime();
		try {
			int status = fleet.send(0, call.by("org-1")).statusCode();
			if (status != 200) {
				throw new IllegalStateException("status " + status);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		return System.nanoTime() - begun;
	}

}
