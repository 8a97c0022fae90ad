package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;

import io.masticlane.demo.Demonstration;

/**
 * Runs a whole deployment in one process and sends requests through it.
 */
final class DemoCommand implements Command {

	private static final long DEFAULT_REQUESTS = 200;

	@Override
	public String name() {
		return "demo";
	}

	@Override
	public String summary() {
		return "Runs store, backend servers and entry host in one process and sends requests through them.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments,
				(parser) -> parser.accepts("requests", "The number of requests to send.")
					.withRequiredArg()
					.describedAs("number"));
		if (parsed.printHelpIfRequested(output, this, "[--requests NUMBER]")) {
			return ExitStatus.SUCCESS;
		}
		parsed.requireNoArguments();
		boolean succeeded = new Demonstration().run((int) parsed.number("requests", DEFAULT_REQUESTS), output);
		return succeeded ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
	}

}
