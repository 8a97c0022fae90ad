package io.masticlane.operator;

import java.util.List;

import io.masticlane.configuration.Objective;

/**
 * What an entry host tells of the requests that its objectives count.
 *
 * @param host the name of the entry host
 * @param region the region in which it stands
 * @param objectives the objectives in force
 * @param series the requests of each service and organisation
 */
public record BurnDocument(String host, String region, List<Objective> objectives, List<Series> series) {

	/**
	 * The requests of one organisation to one service.
	 *
	 * @param service the name of the service
	 * @param organisation the name of the organisation, or an empty text on open routes
	 * @param minutes the minutes in which there were requests
	 */
	public record Series(String service, String organisation, List<Minute> minutes) {
	}

	/**
	 * The requests that ended in one minute.
	 *
	 * @param minute the minutes since 1970 by the wall clock
	 * @param answered the requests that were answered
	 * @param slow the answered requests that took longer than the objective's latency
	 * @param refused the requests that were refused though the caller kept to its rate
	 */
	public record Minute(long minute, long answered, long slow, long refused) {
	}

}
