package io.masticlane.configuration;

import java.util.List;
import java.util.stream.Stream;

/**
 * An organisation with a rate limit and the keys that its callers present.
 *
 * @param name the name of the organisation
 * @param requestsPerSecond the rate limit across all entry hosts
 * @param burst the maximum burst in requests across all entry hosts
 * @param keys the granted keys
 */
public record Organisation(String name, double requestsPerSecond, double burst, List<HashedKey> keys) {

	/**
	 * Creates a new organisation.
	 * @param name the name of the organisation
	 * @param requestsPerSecond the rate limit across all entry hosts
	 * @param burst the maximum burst in requests across all entry hosts
	 * @param keys the granted keys
	 */
	public Organisation {
		Check.name("organisations.name", name);
		Check.positive("organisations.requestsPerSecond", requestsPerSecond);
		Check.positive("organisations.burst", burst);
		keys = Check.listOrEmpty(keys);
	}

	/**
	 * Creates a new organisation without keys.
	 * @param name the name of the organisation
	 * @param requestsPerSecond the rate limit across all entry hosts
	 * @param burst the maximum burst in requests across all entry hosts
	 * @return the organisation
	 */
	public static Organisation of(String name, double requestsPerSecond, double burst) {
		return new Organisation(name, requestsPerSecond, burst, List.of());
	}

	/**
	 * Returns this organisation with an additional key.
	 * @param key the key to grant
	 * @return the changed organisation
	 */
	public Organisation withKey(HashedKey key) {
		List<HashedKey> granted = Stream.concat(this.keys.stream(), Stream.of(key)).toList();
		return new Organisation(this.name, this.requestsPerSecond, this.burst, granted);
	}

	/**
	 * Returns this organisation without one of its keys.
	 * @param identifier the public part of the key to revoke
	 * @return the changed organisation
	 */
	public Organisation withoutKey(String identifier) {
		List<HashedKey> remaining = this.keys.stream().filter((key) -> !key.identifier().equals(identifier)).toList();
		return new Organisation(this.name, this.requestsPerSecond, this.burst, remaining);
	}

}
