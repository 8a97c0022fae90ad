package io.masticlane.operator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

public class MetricsTests {

	private static final Pattern IN_CODE = Pattern.compile("\\.name\\(\\s*\"(masticlane_\\w+)\"");

	private static final Pattern ON_PAGE = Pattern.compile("^\\| (masticlane_\\w+) \\|", Pattern.MULTILINE);

	@Test
	public void thePageListsEveryMetricOfTheCode() throws IOException {
		List<String> code;
		try (Stream<Path> sources = Files.walk(Path.of("src/main/java"))) {
			code = sources.filter((path) -> path.toString().endsWith(".java"))
				.flatMap((path) -> metricNames(IN_CODE, path))
				.distinct()
				.sorted()
				.toList();
		}
		assertFalse(code.isEmpty());
		assertEquals(metricNames(ON_PAGE, Path.of("../docs/METRICS.md")).toList(), code);
	}

	private static Stream<String> metricNames(Pattern pattern, Path file) {
		try {
			List<MatchResult> results = pattern.matcher(Files.readString(file)).results().toList();
			return results.stream().map((result) -> result.group(1));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
