package io.masticlane.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Admits a fraction of the requests of each organisation and kind evenly: each arrival
 * adds the fraction to a credit, and each admission takes 1. Random decisions would leave
 * an organisation of few requests unserved by chance.
 */
final class Credits {

	/**
	 * The maximum number of organisations and kinds whose credit is kept, several times
	 * those of a deployment with 100 organisations; the least recently used credit is
	 * dropped.
	 */
	static final int CAPACITY = 512;

	private final Map<Holder, Double> credits = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Holder, Double> eldest) {
			return size() > CAPACITY;
		}
	};

	private final DoubleSupplier random;

	/**
	 * Creates credits.
	 * @param random returns numbers from 0 to 1, the credits at the start, without which
	 * organisations would always be rejected at their first request
	 */
	Credits(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Decides about an arrival.
	 * @param arrival the arrival
	 * @param fraction the fraction of such requests that is admitted
	 * @return whether the request is admitted, always the case where a slot is free
	 */
	boolean admit(Arrival arrival, double fraction) {
		Holder holder = new Holder(arrival.kind(), arrival.organisation());
		Double saved = this.credits.get(holder);
		double credit = ((saved != null) ? saved : this.random.getAsDouble()) + fraction;
		boolean admitted = arrival.slotFree() || fraction >= 1 || credit >= 1;
		this.credits.put(holder, admitted ? Math.max(0, credit - 1) : credit);
		return admitted;
	}

	int size() {
		return this.credits.size();
	}

	private record Holder(Arrival.Kind kind, String organisation) {
	}

}
