package io.masticlane.backend;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a backend server tells of itself with an answer.
 *
 * @param inUse the slots in use, or zero if not told
 * @param slots the slots that it has, or the largest number if not told
 * @param leaving whether it is leaving
 */
public record BackendReport(int inUse, int slots, boolean leaving) {

	/**
	 * The answer header with the slots in use and the slots, as in {@code 3/7}.
	 */
	public static final String LOAD_HEADER = "Backend-Load";

	/**
	 * The answer header whose value {@code leaving} asks for no new work.
	 */
	public static final String STATE_HEADER = "Backend-State";

	/**
	 * The report of a backend server that tells nothing.
	 */
	public static final BackendReport NONE = new BackendReport(0, Integer.MAX_VALUE, false);

	private static final Pattern LOAD = Pattern.compile("(\\d{1,6})/(\\d{1,6})");

	/**
	 * Creates a new report from the headers of an answer; what cannot be read counts as
	 * not told.
	 * @param load the value of the load header, or an empty text
	 * @param state the value of the state header, or an empty text
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
