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
 * The way of one request through the logs of gateways, with the beliefs behind each
 * decision.
 */
public final class RequestHistory {

	private static final Pattern FIELD = Pattern.compile("([a-z_]+)=(\"[^\"]*\"|\\S+)");

	private static final Pattern MILLIS = Pattern.compile("\\d{1,18}");

	private static final String REQUEST = "request";

	private static final String SERVER = "server";

	private static final Set<String> FLEET_EVENTS = Set.of("PLAN_IN_FORCE", "EVACUATION_CHANGED", "STORE_LOST",
			"STORE_HEARD");

	private final List<Line> lines;

	private final long skipped;

	private RequestHistory(List<Line> lines, long skipped) {
		this.lines = lines;
		this.skipped = skipped;
	}

	/**
	 * Reads the lines of a request, and the last change of each belief before it.
	 * @param id the identifier of the request
	 * @param logs the lines of each log, by the name of the log
	 * @return the history
	 */
	public static RequestHistory of(String id, Map<String, List<String>> logs) {
		List<Optional<Line>> read = logs.entrySet()
			.stream()
			.flatMap((log) -> log.getValue().stream().map((text) -> Line.read(log.getKey(), text)))
			.toList();
		List<Line> all = read.stream()
			.flatMap(Optional::stream)
			.sorted(Comparator.comparingLong(Line::millis))
			.toList();
		List<Line> own = all.stream().filter((line) -> id.equals(line.fields().get(REQUEST))).toList();
		Set<String> servers = own.stream()
			.map((line) -> line.fields().get(SERVER))
			.filter((server) -> server != null)
			.collect(Collectors.toCollection(TreeSet::new));
		Set<String> sources = own.stream().map(Line::source).collect(Collectors.toSet());
		long end = own.stream().mapToLong(Line::millis).max().orElse(Long.MIN_VALUE);
		Map<String, Line> beliefs = all.stream()
			.filter((line) -> line.millis() <= end && sources.contains(line.source()))
			.filter((line) -> !line.fields().containsKey(REQUEST))
			.filter((line) -> FLEET_EVENTS.contains(line.fields().get("name"))
					|| servers.contains(line.fields().getOrDefault(SERVER, "")))
			.collect(Collectors.toMap(
					(line) -> line.source() + line.fields().get("name") + line.fields().getOrDefault(SERVER, ""),
					(line) -> line, (former, later) -> later));
		return new RequestHistory(Stream.concat(beliefs.values().stream(), own.stream())
			.sorted(Comparator.comparingLong(Line::millis))
			.toList(), read.stream().filter(Optional::isEmpty).count());
	}

	/**
	 * Returns the lines in the order of their time.
	 * @return the lines, each with the name of its log
	 */
	public List<String> print() {
		return this.lines.stream().map((line) -> line.source() + ": " + line.text()).toList();
	}

	/**
	 * Returns the lines that could not be read.
	 * @return the number of lines
	 */
	public long skipped() {
		return this.skipped;
	}

	private record Line(String source, long millis, Map<String, String> fields, String text) {

		private static Optional<Line> read(String source, String text) {
			int start = text.indexOf("time_ms=");
			if (start < 0) {
				return Optional.empty();
			}
			String line = text.substring(start);
			Map<String, String> fields = FIELD.matcher(line)
				.results()
				.collect(Collectors.toMap((match) -> match.group(1), (match) -> unquoted(match.group(2)),
						(former, later) -> former));
			Matcher time = MILLIS.matcher(fields.get("time_ms"));
			return (time.matches() && fields.containsKey("event"))
					? Optional.of(new Line(source, Long.parseLong(fields.get("time_ms")), fields, line))
					: Optional.empty();
		}

		private static String unquoted(String value) {
			return value.startsWith("\"") ? value.substring(1, value.length() - 1) : value;
		}

	}

}
