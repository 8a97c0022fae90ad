package io.masticlane.placement;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Counts the regions to which requests are sent, and tells how many changed their region
 * from one window to the next.
 */
public final class RegionFlow {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * The requests below which a window tells nothing.
	 */
	private static final int SMALLEST_WINDOW_REQUESTS = 30;

	private Window former = new Window();

	private Window present = new Window();

	private long startedAt;

	/**
	 * Counts a request.
	 * @param choice the server that the request is sent to
	 */
	public void recordSent(Placement.Choice choice) {
		this.present.regions.merge(choice.server().region(), 1, Integer::sum);
		this.present.reasons.merge(choice.reason(), 1, Integer::sum);
	}

	/**
	 * Counts a request that was refused for the load of its region.
	 * @param region the name of the region
	 */
	public void recordRefused(String region) {
		this.present.refused.merge(region, 1, Integer::sum);
	}

	/**
	 * Ends the window, if it is over.
	 * @param now the present in nanoseconds
	 * @return what changed since the window before, if both had enough requests
	 */
	public Optional<Change> closeWindow(long now) {
		if (now - this.startedAt < WINDOW_NANOS) {
			return Optional.empty();
		}
		Window before = this.former;
		Window over = this.present;
		this.former = over;
		this.present = new Window();
		this.startedAt = now;
		if (Math.min(before.requests(), over.requests()) < SMALLEST_WINDOW_REQUESTS) {
			return Optional.empty();
		}
		return Optional.of(new Change(movedFraction(before.regions, over.regions), text(before.regions),
				text(over.regions), text(over.reasons), text(over.refused)));
	}

	/**
	 * Returns the part of requests that changed their region between two windows.
	 * @param before the requests by region in the first window
	 * @param after the requests by region in the second window
	 * @return the part from 0 to 1
	 */
	static double movedFraction(Map<String, Integer> before, Map<String, Integer> after) {
		double all = Math.max(1, sum(before));
		double next = Math.max(1, sum(after));
		return before.entrySet()
			.stream()
			.mapToDouble(
					(region) -> Math.max(0, region.getValue() / all - after.getOrDefault(region.getKey(), 0) / next))
			.sum();
	}

	private static int sum(Map<?, Integer> counts) {
		return counts.values().stream().mapToInt(Integer::intValue).sum();
	}

	private static String text(Map<?, Integer> counts) {
		return counts.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + ":" + entry.getValue())
			.collect(Collectors.joining(","));
	}

	private static final class Window {

		private final Map<String, Integer> regions = new TreeMap<>();

		private final Map<Placement.Reason, Integer> reasons = new TreeMap<>();

		private final Map<String, Integer> refused = new TreeMap<>();

		private int requests() {
			return sum(this.regions);
		}

	}

	/**
	 * The difference between two windows.
	 *
	 * @param movedFraction the part of requests that changed their region, from 0 to 1
	 * @param before the requests by region in the first window
	 * @param after the requests by region in the second window
	 * @param reasons the requests of the second window by the reason for their region
	 * @param refused the requests of the second window that were refused for the load of
	 * their region
	 */
	public record Change(double movedFraction, String before, String after, String reasons, String refused) {
	}

}
