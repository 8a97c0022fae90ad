package io.masticlane.configuration;

import java.util.List;
import java.util.stream.Stream;

/**
 * An organisation whose callers show its keys.
 *
 * @param name the name of the organisation
 * @param requestsPerSecond the rate that it may send fleet-wide
 * @param burst the burst that it may send fleet-wide
 * @param keys the granted keys
 */
public record Organisation(String name, double requestsPerSecond, double burst, List<HashedKey> keys) {

	/**
	 * Creates a new organisation whose callers show its keys.
	 * @param name the name of the organisation
	 * @param requestsPerSecond the rate that it may send fleet-wide
	 * @param burst the burst that it may send fleet-wide
	 * @param keys the granted keys
	 */
	public Organisation {
		Check.name("organisations.name", name);
		Check.positive("organisations.requestsPerSecond", requestsPerSecond);
		Check.positive("organisations.burst", burst);
		keys = Check.list(keys);
	}

	/**
	 * Creates a new organisation without keys.
	 * @param name the name of the organisation
	 * @param requestsPerSecond the rate that it may send fleet-wide
	 * @param burst the burst that it may send fleet-wide
	 * @return the organisation
	 */
	public static Organisation of(String name, double requestsPerSecond, double burst) {
		return new Organisation(name, requestsPerSecond, burst, List.of());
	}

	/**
	 * Returns this organisation with one more key.
	 * @param key the key to grant
	 * @return the changed organisation
	 */
	public Organisation withKey(HashedKey key) {
		List<HashedKey> granted = Stream.concat(this.keys.stream(), Stream.of(key)).toList();
		return new Organisation(this.name, this.requestsPerSecond, this.burst, granted);
	}

	/**
	 * Returns this organisation without one of its keys.
	 * @param identifier the public part of the key to withdraw
	 * @return the changed organisation
	 */
	public Organisation withoutKey(String identifier) {
		List<HashedKey> kept = this.keys.stream().filter((key) -> !key.identifier().equals(identifier)).toList();
		return new Organisation(this.name, this.requestsPerSecond, this.burst, kept);
	}

}
