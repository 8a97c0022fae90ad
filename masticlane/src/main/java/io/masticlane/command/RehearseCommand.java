package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;

import io.masticlane.rehearsal.Rehearsal;

/**
 * Runs gateways on loopback for a few seconds, so that the build can archive the classes
 * that they load.
 */
final class RehearseCommand implements Command {

	@Override
	public String name() {
		return "rehearse";
	}

	@Override
	public String summary() {
		return "Runs two gateways on loopback with an example plan, so that the build can archive the loaded classes.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
		});
		if (parsed.printHelpIfRequested(output, this, "")) {
			return ExitStatus.SUCCESS;
		}
		parsed.requireNoArguments();
		int served = new Rehearsal(PlatformAccess.find(), output).run();
		output.println(served + " requests were served");
		return (served > 0) ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
	}

}
