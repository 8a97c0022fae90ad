package io.masticlane.steering;

/**
 * The result of an attempt at a backend server.
 */
public enum AttemptResult {

	/**
	 * The response was forwarded to the caller.
	 */
	ANSWERED,

	/**
	 * No part of the request reached the backend server.
	 */
	NOT_SENT,

	/**
	 * The backend server refused the request before running it.
	 */
	SHED,

	/**
	 * The backend server or its connection was lost after the request was sent.
	 */
	LOST,

	/**
	 * The deadline passed after the request was sent.
	 */
	TIMED_OUT,

	/**
	 * The deadline passed, the caller disconnected or the entry host ended while no
	 * attempt was in progress at a backend server.
	 */
	CANCELLED,

	/**
	 * The caller disconnected, its response was cut off after it had begun, or the entry
	 * host ended.
	 */
	ABANDONED

}
