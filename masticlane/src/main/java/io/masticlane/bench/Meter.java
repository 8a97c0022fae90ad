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
 * Measures processor time and heap usage.
 */
final class Meter {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private static final int REPETITIONS = 5;

	/**
	 * The garbage collector compacts whole regions only at every fourth full collection.
	 */
	private static final int COLLECTION_CYCLES = 4;

	private static final long COLLECTION_PAUSE_NANOS = 20_000_000;

	private Meter() {
	}

	/**
	 * Returns the minimum processor time of an action on the current thread over several
	 * repetitions, after one warm-up run.
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
	 * Returns the total processor time of all live threads with a name.
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
	 * Returns the heap that an object retains. The measurement runs on a new thread, so
	 * that no references from an earlier measurement remain on the stack.
	 * @param supplier the supplier of the object
	 * @return the retained heap in bytes
	 */
	static long heapBytes(Supplier<Object> supplier) {
		return CompletableFuture.supplyAsync(() -> {
			long before = usedHeap();
			Object retained = supplier.get();
			long after = usedHeap();
			Reference.reachabilityFence(retained);
			return after - before;
		}, (task) -> new Thread(task).start()).join();
	}

	static long usedHeap() {
		IntStream.range(0, COLLECTION_CYCLES).forEach((collection) -> {
			System.gc();
			LockSupport.parkNanos(COLLECTION_PAUSE_NANOS);
		});
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
