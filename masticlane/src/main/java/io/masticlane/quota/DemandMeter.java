package io.masticlane.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures the requests a second of each organisation.
 */
public final class DemandMeter {

	/**
	 * The time in which an old rate loses most of its weight; long against the gaps
	 * between requests, short against the window of a rate.
	 */
	private static final double SMOOTHING_SECONDS = 1.0;

	private static final double FORGOTTEN_RATE = 0.01;

	private final Map<String, Double> counted = new HashMap<>();

	private final Map<String, Double> rates = new HashMap<>();

	private long updatedAt;

	/**
	 * Creates a new meter.
	 * @param now the present in nanoseconds
	 */
	public DemandMeter(long now) {
		this.updatedAt = now;
	}

	/**
	 * Counts a request.
	 * @param organisation the name of the organisation
	 */
	public void count(String organisation) {
		this.counted.merge(organisation, 1.0, Double::sum);
	}

	/**
	 * Closes an interval of measurement.
	 * @param now the present in nanoseconds
	 * @return the requests a second of each organisation
	 */
	public Map<String, Double> update(long now) {
		double seconds = Math.max(1e-3, (now - this.updatedAt) / (double) TimeUnit.SECONDS.toNanos(1));
		this.updatedAt = now;
		double weight = 1 - Math.exp(-seconds / SMOOTHING_SECONDS);
		this.counted.keySet().forEach((organisation) -> this.rates.putIfAbsent(organisation, 0.0));
		this.rates.replaceAll((organisation, rate) -> rate
				+ weight * (this.counted.getOrDefault(organisation, 0.0) / seconds - rate));
		this.rates.values().removeIf((rate) -> rate < FORGOTTEN_RATE);
		this.counted.clear();
		return Map.copyOf(this.rates);
	}

}
