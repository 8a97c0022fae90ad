package io.masticlane.backend;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The load and state that a backend server reports with a response.
 *
 * @param inUse the number of slots in use, or zero if not reported
 * @param slots the number of slots of the backend server, or {@link Integer#MAX_VALUE} if
 * not reported
 * @param leaving whether the backend server is leaving
 */
public record BackendReport(int inUse, int slots, boolean leaving) {

	/**
	 * The response header that states the slots in use and the total slots, as in
	 * {@code 3/7}.
	 */
	public static final String LOAD_HEADER = "Backend-Load";

	/**
	 * The response header whose value {@code leaving} requests that no new work is sent.
	 */
	public static final String STATE_HEADER = "Backend-State";

	/**
	 * The report of a backend server that reports neither load nor state.
	 */
	public static final BackendReport NONE = new BackendReport(0, Integer.MAX_VALUE, false);

	private static final Pattern LOAD = Pattern.compile("(\\d{1,6})/(\\d{1,6})");

	/**
	 * Parses the report from the headers of a response. A malformed value is treated as
	 * not reported.
	 * @param load the value of the load header, or an empty string
	 * @param state the value of the state header, or an empty string
	 * @return the report
	 */
	public static BackendReport parse(String load, String state) {
		boolean leaving = state.trim().equalsIgnoreCase("leaving");
		Matcher matcher = LOAD.matcher(load.trim());
		if (matcher.matches()) {
			return new BackendReport(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)), leaving);
		}
		return leaving ? new BackendReport(0, Integer.MAX_VALUE, true) : NONE;
	}

}
