package io.masticlane.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The objects that a server recently served for this gateway.
 */
final class ServedObjects {

	/**
	 * The number of objects that are recorded; servers keep fewer warm.
	 */
	private static final int CAPACITY = 64;

	private final Map<Long, Long> servedAt = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > CAPACITY;
		}
	};

	void clear() {
		this.servedAt.clear();
	}

	/**
	 * Records that the server served an object.
	 * @param object the hash of the object
	 * @param now the current time in nanoseconds
	 */
	void record(long object, long now) {
		this.servedAt.put(object, now);
	}

	/**
	 * Returns whether the server served an object within a period before the current
	 * time.
	 * @param object the hash of the object
	 * @param withinNanos the period in nanoseconds
	 * @param now the current time in nanoseconds
	 * @return whether the server served the object within the period
	 */
	boolean contains(long object, long withinNanos, long now) {
		Long lastServedAt = this.servedAt.get(object);
		return lastServedAt != null && now - lastServedAt < withinNanos;
	}

}
