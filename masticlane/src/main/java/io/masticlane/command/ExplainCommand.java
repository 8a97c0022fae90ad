package io.masticlane.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.masticlane.report.RequestHistory;

/**
 * Prints the path of a request through the logs of gateways.
 */
final class ExplainCommand implements Command {

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String summary() {
		return "Prints the path of a request through the logs of gateways: explain ID FILE...";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		if (arguments.contains("--help")) {
			output.println("usage: masticlane explain ID FILE...");
			output.println(summary());
			return ExitStatus.SUCCESS;
		}
		if (arguments.size() < 2) {
			throw new UsageException("got " + arguments.size()
					+ " arguments, expected the identifier of a request and at least one log file");
		}
		Map<String, List<String>> logs = new LinkedHashMap<>();
		for (String name : arguments.subList(1, arguments.size())) {
			Path file = Path.of(name);
			if (!Files.isReadable(file)) {
				throw new UsageException("got " + name + ", expected a readable log file");
			}
			logs.put(file.getFileName().toString(),
					Arrays.asList(new String(Files.readAllBytes(file), StandardCharsets.UTF_8).split("\n")));
		}
		RequestHistory history = RequestHistory.of(arguments.get(0), logs);
		history.lines().forEach(output::println);
		output.println(history.lines().isEmpty() ? "no line contains the request identifier"
				: history.skippedLines() + " other lines could not be parsed");
		return history.lines().isEmpty() ? ExitStatus.FAILURE : ExitStatus.SUCCESS;
	}

}
