package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.masticlane.bench.BenchDeployment;
import io.masticlane.bench.LoadBenchmark;
import io.masticlane.bench.Slopes;

/**
 * Runs one of the benchmarks.
 */
final class BenchCommand implements Command {

	private static final long DEFAULT_RATE = 2_000;

	private static final long DEFAULT_SECONDS = 5;

	@Override
	public String name() {
		return "bench";
	}

	@Override
	public String summary() {
		return "Runs one of the benchmarks: platform, requests, look-ups, slopes.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
			parser.accepts("rate", "The number of requests per second.").withRequiredArg().describedAs("number");
			parser.accepts("seconds", "The duration of each round.").withRequiredArg().describedAs("number");
		});
		if (parsed.printHelpIfRequested(output, this, "[--rate NUMBER] [--seconds NUMBER] BENCHMARK")) {
			return ExitStatus.SUCCESS;
		}
		String benchmark = parsed.singleArgument("platform, requests, look-ups or slopes");
		LoadBenchmark load = new LoadBenchmark(output,
				TimeUnit.SECONDS.toMillis(parsed.number("seconds", DEFAULT_SECONDS)));
		boolean passed = switch (benchmark) {
			case "platform" -> runPlatform();
			case "requests" -> load.measureRequests(parsed.number("rate", DEFAULT_RATE));
			case "look-ups" -> load.measureLookUps();
			case "slopes" -> new Slopes(output).print();
			default ->
				throw new UsageException("got '" + benchmark + "', expected platform, requests, look-ups or slopes");
		};
		return passed ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
	}

	private static boolean runPlatform() throws Exception {
		try (BenchDeployment deployment = new BenchDeployment()) {
			new CountDownLatch(1).await();
		}
		return true;
	}

}
