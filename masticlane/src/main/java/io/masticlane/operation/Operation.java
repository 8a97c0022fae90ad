package io.masticlane.operation;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An operation that runs at most once.
 *
 * @param organisation the organisation whose key came with the request
 * @param key the idempotency key of the request
 * @param fingerprint a digest of the request, by which another request under the same key
 * is recognised
 * @param owner the process that owns the operation
 */
public record Operation(String organisation, String key, long fingerprint, Owner owner) {

	/**
	 * The operation of a request that names none.
	 */
	public static final Operation NONE = new Operation("", "", 0, Owner.NONE);

	/**
	 * Creates a new operation, whose owner is named by the prefix of its key.
	 * @param organisation the organisation whose key came with the request
	 * @param key the idempotency key of the request
	 * @param fingerprint a digest of the request
	 * @return the operation
	 */
	public static Operation of(String organisation, String key, long fingerprint) {
		return new Operation(organisation, key, fingerprint, Owner.of(key));
	}

	/**
	 * Returns the prefix that binds idempotency keys to a process.
	 * @param incarnation the identifier of the process
	 * @param epoch the present epoch of the process
	 * @return the prefix
	 */
	public static String prefix(String incarnation, long epoch) {
		return incarnation + "." + epoch + ".";
	}

	/**
	 * Tells whether the request names an operation.
	 * @return whether the request names an operation
	 */
	public boolean named() {
		return !this.key.isEmpty();
	}

	/**
	 * Tells whether one process owns the operation.
	 * @return whether one process owns the operation
	 */
	public boolean owned() {
		return this.owner != Owner.NONE;
	}

	/**
	 * The process that owns an operation.
	 *
	 * @param incarnation the identifier of the process
	 * @param epoch the epoch of the process in which the operation began
	 */
	public record Owner(String incarnation, long epoch) {

		/**
		 * The owner of operations that are claimed in the store.
		 */
		public static final Owner NONE = new Owner("", 0);

		private static final Pattern PREFIX = Pattern.compile("([0-9a-f-]{36})\\.([0-9]{1,12})\\..+");

		static Owner of(String key) {
			Matcher matcher = PREFIX.matcher(key);
			return matcher.matches() ? new Owner(matcher.group(1), Long.parseLong(matcher.group(2))) : NONE;
		}

	}

}
