package io.masticlane.placement;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Counts the requests sent to each region, and reports which fraction of the requests
 * changed region from one window to the next.
 */
public final class RegionFlow {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * The number of requests below which a window is too small to be compared.
	 */
	private static final int MINIMUM_WINDOW_REQUESTS = 30;

	private Window previous = new Window();

	private Window current = new Window();

	private long startedAt;

	/**
	 * Counts a request that is sent to a server.
	 * @param choice the chosen server
	 */
	public void recordSent(PlacementChoice choice) {
		this.current.regions.merge(choice.server().region(), 1, Integer::sum);
		this.current.reasons.merge(choice.reason(), 1, Integer::sum);
	}

	/**
	 * Counts a request that was refused because of the load of its region.
	 * @param region the name of the region
	 */
	public void recordRefused(String region) {
		this.current.refused.merge(region, 1, Integer::sum);
	}

	/**
	 * Closes the window, if its time has passed.
	 * @param now the current time in nanoseconds
	 * @return the change since the previous window, if both windows had enough requests
	 */
	public Optional<Change> closeWindow(long now) {
		if (now - this.startedAt < WINDOW_NANOS) {
			return Optional.empty();
		}
		Window before = this.previous;
		Window closed = this.current;
		this.previous = closed;
		this.current = new Window();
		this.startedAt = now;
		if (Math.min(before.requests(), closed.requests()) < MINIMUM_WINDOW_REQUESTS) {
			return Optional.empty();
		}
		return Optional.of(new Change(movedFraction(before.regions, closed.regions), format(before.regions),
				format(closed.regions), format(closed.reasons), format(closed.refused)));
	}

	/**
	 * Returns the fraction of requests that changed region between two windows.
	 * @param before the requests by region in the first window
	 * @param after the requests by region in the second window
	 * @return the fraction from 0 to 1
	 */
	static double movedFraction(Map<String, Integer> before, Map<String, Integer> after) {
		double totalBefore = Math.max(1, sum(before));
		double totalAfter = Math.max(1, sum(after));
		return before.entrySet()
			.stream()
			.mapToDouble((region) -> Math.max(0,
					region.getValue() / totalBefore - after.getOrDefault(region.getKey(), 0) / totalAfter))
			.sum();
	}

	private static int sum(Map<?, Integer> counts) {
		return counts.values().stream().mapToInt(Integer::intValue).sum();
	}

	private static String format(Map<?, Integer> counts) {
		return counts.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + ":" + entry.getValue())
			.collect(Collectors.joining(","));
	}

	private static final class Window {

		private final Map<String, Integer> regions = new TreeMap<>();

		private final Map<PlacementReason, Integer> reasons = new TreeMap<>();

		private final Map<String, Integer> refused = new TreeMap<>();

		private int requests() {
			return sum(this.regions);
		}

	}

	/**
	 * The difference between two windows.
	 *
	 * @param movedFraction the fraction of requests that changed region, from 0 to 1
	 * @param before the requests by region in the first window
	 * @param after the requests by region in the second window
	 * @param reasons the requests of the second window by the reason for the choice of
	 * their region
	 * @param refused the requests of the second window that were refused because of the
	 * load of their region, by region
	 */
	public record Change(double movedFraction, String before, String after, String reasons, String refused) {
	}

}
