package io.masticlane.report;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The log lines of one request from the logs of gateways, together with the preceding
 * state changes that explain the decisions.
 */
public final class RequestHistory {

	private static final Pattern FIELD = Pattern.compile("([a-z_]+)=(\"[^\"]*\"|\\S+)");

	private static final Pattern MILLIS = Pattern.compile("\\d{1,18}");

	private static final String REQUEST = "request";

	private static final String SERVER = "server";

	private static final Set<String> FLEET_STATE_EVENTS = Set.of("PLAN_IN_FORCE", "EVACUATION_CHANGED", "STORE_READ",
			"STORE_POSITION_REVERTED", "STORE_LOST", "STORE_HEARD");

	private final List<Line> lines;

	private final long skipped;

	private RequestHistory(List<Line> lines, long skipped) {
		this.lines = lines;
		this.skipped = skipped;
	}

	/**
	 * Finds the lines of a request, and the latest state change of the fleet and of each
	 * of its backend servers up to its last line.
	 * @param id the identifier of the request
	 * @param logs the lines of each log by the name of the log
	 * @return the history
	 */
	public static RequestHistory of(String id, Map<String, List<String>> logs) {
		List<Optional<Line>> parsed = logs.entrySet()
			.stream()
			.flatMap((log) -> log.getValue().stream().map((text) -> Line.parse(log.getKey(), text)))
			.toList();
		List<Line> chronological = parsed.stream()
			.flatMap(Optional::stream)
			.sorted(Comparator.comparingLong(Line::millis))
			.toList();
		List<Line> requestLines = chronological.stream()
			.filter((line) -> id.equals(line.fields().get(REQUEST)))
			.toList();
		Set<String> servers = requestLines.stream()
			.map((line) -> line.fields().get(SERVER))
			.filter((server) -> server != null)
			.collect(Collectors.toCollection(TreeSet::new));
		Set<String> sources = requestLines.stream().map(Line::source).collect(Collectors.toSet());
		long end = requestLines.stream().mapToLong(Line::millis).max().orElse(Long.MIN_VALUE);
		Map<String, Line> stateChanges = chronological.stream()
			.filter((line) -> line.millis() <= end && sources.contains(line.source()))
			.filter((line) -> !line.fields().containsKey(REQUEST))
			.filter((line) -> FLEET_STATE_EVENTS.contains(line.fields().get("name"))
					|| servers.contains(line.fields().getOrDefault(SERVER, "")))
			.collect(Collectors.toMap(
					(line) -> line.source() + line.fields().get("name") + line.fields().getOrDefault(SERVER, ""),
					(line) -> line, (earlier, later) -> later));
		return new RequestHistory(Stream.concat(stateChanges.values().stream(), requestLines.stream())
			.sorted(Comparator.comparingLong(Line::millis))
			.toList(), parsed.stream().filter(Optional::isEmpty).count());
	}

	/**
	 * Returns the lines in chronological order.
	 * @return the lines, each prefixed with the name of its log
	 */
	public List<String> lines() {
		return this.lines.stream().map((line) -> line.source() + ": " + line.text()).toList();
	}

	/**
	 * Returns the number of lines that could not be parsed.
	 * @return the number of lines
	 */
	public long skippedLines() {
		return this.skipped;
	}

	private record Line(String source, long millis, Map<String, String> fields, String text) {

		private static Optional<Line> parse(String source, String text) {
			int start = text.indexOf("time_ms=");
			if (start < 0) {
				return Optional.empty();
			}
			String line = text.substring(start);
			Map<String, String> fields = FIELD.matcher(line)
				.results()
				.collect(Collectors.toMap((match) -> match.group(1), (match) -> unquote(match.group(2)),
						(first, second) -> first));
			Matcher time = MILLIS.matcher(fields.get("time_ms"));
			return (time.matches() && fields.containsKey("event"))
					? Optional.of(new Line(source, Long.parseLong(fields.get("time_ms")), fields, line))
					: Optional.empty();
		}

		private static String unquote(String value) {
			return value.startsWith("\"") ? value.substring(1, value.length() - 1) : value;
		}

	}

}
