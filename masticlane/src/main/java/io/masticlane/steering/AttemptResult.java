package io.masticlane.steering;

/**
 * How an attempt at a backend server ended.
 */
public enum AttemptResult {

	/**
	 * The answer was carried to the caller.
	 */
	ANSWERED,

	/**
	 * Nothing of the request reached the backend server.
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
	 * The deadline passed or the caller went away while no attempt was at a backend
	 * server.
	 */
	CANCELLED,

	/**
	 * The caller went away, or its answer was cut after it had begun.
	 */
	ABANDONED

}
