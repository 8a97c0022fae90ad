package io.masticlane.client;

/**
 * The use of a pooled connection by one call.
 *
 * @param connection the number of the connection in its pool, or zero if the call has
 * none
 * @param calls the number of calls that the connection has carried, including this one
 * @param repeated whether an idle connection was passed over because it had carried a
 * call with the same identifier
 */
public record ConnectionUse(long connection, int calls, boolean repeated) {

	/**
	 * The use of a call without a connection.
	 */
	public static final ConnectionUse NONE = new ConnectionUse(0, 0, false);

}
