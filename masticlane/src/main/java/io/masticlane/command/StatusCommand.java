package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;

import io.masticlane.operator.StatusDocument;
import io.masticlane.report.EntryHostClient;

/**
 * Prints the status that every entry host reports.
 */
final class StatusCommand implements Command {

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String summary() {
		return "Prints every entry host's revision, readiness, requests, store contact, shares and peers.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, FleetAccess::declareOptions);
		if (parsed.printHelpIfRequested(output, this, FleetAccess.USAGE)) {
			return ExitStatus.SUCCESS;
		}
		parsed.requireNoArguments();
		List<EntryHostClient.Response<StatusDocument>> answers = new EntryHostClient()
			.read(FleetAccess.operatorAddresses(parsed), "/status", StatusDocument.class);
		output.printf("%-20s %8s %-8s %9s %12s %7s %6s%n", "entry host", "revision", "state", "in flight",
				"store heard", "shares", "peers");
		answers.forEach((answer) -> output.println(answer.document()
			.map(StatusCommand::format)
			.orElseGet(() -> answer.address() + ": NO ANSWER: " + answer.problem())));
		return answers.stream().allMatch((answer) -> answer.document().isPresent()) ? ExitStatus.SUCCESS
				: ExitStatus.FAILURE;
	}

	private static String format(StatusDocument status) {
		String state = status.leaving() ? "leaving" : (status.ready() ? "ready" : "waiting");
		return String.format("%-20s %8d %-8s %9d %9d ms %7d %6d", status.host(), status.revision(), state,
				status.inFlight(), status.storeAgeMillis(), status.shares(), status.peers().size());
	}

}
