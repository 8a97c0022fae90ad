package io.masticlane.operator;

import java.util.List;

import io.masticlane.configuration.Objective;

/**
 * The requests at one entry host that count towards objectives, as returned by
 * {@code /burn}.
 *
 * @param host the name of the entry host
 * @param region the region of the entry host
 * @param objectives the objectives in force
 * @param series the request counts of each service and organisation
 */
public record BurnDocument(String host, String region, List<Objective> objectives, List<Series> series) {

	/**
	 * The request counts of one organisation for one service.
	 *
	 * @param service the name of the service
	 * @param organisation the name of the organisation, or an empty string on open routes
	 * @param minutes the minutes that had requests
	 */
	public record Series(String service, String organisation, List<Minute> minutes) {
	}

	/**
	 * The requests that ended in one minute.
	 *
	 * @param minute the wall-clock time in minutes since 1970
	 * @param answered the number of requests that received a response
	 * @param slow the number of answered requests that exceeded the latency of the
	 * objective
	 * @param refused the number of requests that were refused although the caller stayed
	 * within its rate
	 */
	public record Minute(long minute, long answered, long slow, long refused) {
	}

}
