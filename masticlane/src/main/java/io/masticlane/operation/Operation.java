package io.masticlane.operation;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An operation that runs at most once.
 *
 * @param organisation the organisation whose API key the request carries
 * @param key the idempotency key of the request
 * @param fingerprint a digest of the request, which detects a different request with the
 * same idempotency key
 * @param owner the process that owns the operation, or {@link Owner#NONE}
 */
public record Operation(String organisation, String key, long fingerprint, Owner owner) {

	/**
	 * The operation of a request without an idempotency key.
	 */
	public static final Operation NONE = new Operation("", "", 0, Owner.NONE);

	/**
	 * Creates a new operation, whose owner is parsed from the prefix of its key.
	 * @param organisation the organisation whose API key the request carries
	 * @param key the idempotency key of the request
	 * @param fingerprint a digest of the request
	 * @return the operation
	 */
	public static Operation of(String organisation, String key, long fingerprint) {
		return new Operation(organisation, key, fingerprint, Owner.of(key));
	}

	/**
	 * Returns the prefix of the idempotency keys of operations that a process owns.
	 * @param incarnation the identifier of the process
	 * @param epoch the current epoch of the process
	 * @return the prefix
	 */
	public static String prefix(String incarnation, long epoch) {
		return incarnation + "." + epoch + ".";
	}

	/**
	 * Returns whether the request has an idempotency key.
	 * @return whether the request has an idempotency key
	 */
	public boolean hasKey() {
		return !this.key.isEmpty();
	}

	/**
	 * Returns whether a process owns the operation.
	 * @return whether a process owns the operation, which is claimed in the store
	 * otherwise
	 */
	public boolean hasOwner() {
		return this.owner != Owner.NONE;
	}

	/**
	 * The process that owns an operation.
	 *
	 * @param incarnation the identifier of the process
	 * @param epoch the epoch of the process in which the prefix of the key was issued
	 */
	public record Owner(String incarnation, long epoch) {

		/**
		 * No owner; the operation is claimed in the store.
		 */
		public static final Owner NONE = new Owner("", 0);

		private static final Pattern OWNED_KEY = Pattern.compile("([0-9a-f-]{36})\\.([0-9]{1,12})\\..+");

		static Owner of(String key) {
			Matcher matcher = OWNED_KEY.matcher(key);
			return matcher.matches() ? new Owner(matcher.group(1), Long.parseLong(matcher.group(2))) : NONE;
		}

	}

}
