package io.masticlane.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * Measures processor time and heap.
 */
final class Meter {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private static final int REPETITIONS = 5;

	/**
	 * The collector compacts whole regions at every fourth full collection alone.
	 */
	private static final int COLLECTIONS = 4;

	private static final long SETTLE_NANOS = 20_000_000;

	private Meter() {
	}

	/**
	 * Returns the least processor time that an action took on this thread, after a
	 * warm-up.
	 * @param action the action to measure
	 * @return the time in nanoseconds
	 */
	static long processorNanos(Runnable action) {
		action.run();
		return IntStream.range(0, REPETITIONS).mapToLong((repetition) -> {
			long before = THREADS.getCurrentThreadCpuTime();
			action.run();
			return THREADS.getCurrentThreadCpuTime() - before;
		}).min().orElseThrow();
	}

	/**
	 * Returns the processor time of all live threads of a name so far.
	 * @param thread the name of the threads
	 * @return the time in nanoseconds
	 */
	static long processorNanos(String thread) {
		return Arrays.stream(THREADS.getThreadInfo(THREADS.getAllThreadIds()))
			.filter((information) -> information != null && information.getThreadName().equals(thread))
			.mapToLong((information) -> THREADS.getThreadCpuTime(information.getThreadId()))
			.sum();
	}

	/**
	 * Returns the heap that is held through an object. It is measured on a thread of its
	 * own, whose stack holds nothing of an earlier measurement.
	 * @param supplier the supplier of the object
	 * @return the heap in bytes
	 */
	static long heapBytes(Supplier<Object> supplier) {
		return CompletableFuture.supplyAsync(() -> {
			long before = usedHeap();
			Object held = supplier.get();
			long after = usedHeap();
			Reference.reachabilityFence(held);
			return after - before;
		}, (task) -> new Thread(task).start()).join();
	}

	static long usedHeap() {
		IntStream.range(0, COLLECTIONS).forEach((collection) -> {
			System.gc();
			LockSupport.parkNanos(SETTLE_NANOS);
		});
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
