package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.masticlane.operator.BurnDocument;
import io.masticlane.operator.OperatorDocuments;
import io.masticlane.report.BurnReport;
import io.masticlane.report.EntryHostClient;

/**
 * Prints how fast the error budgets burn.
 */
final class ReportCommand implements Command {

	@Override
	public String name() {
		return "report";
	}

	@Override
	public String summary() {
		return "Prints how fast error budgets burn, by service, organisation and region.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
			FleetAccess.declare(parser);
			parser.accepts("json", "Prints the report as one JSON document.");
		});
		if (parsed.helped(output, this, FleetAccess.USAGE + " [--json]")) {
			return ExitStatus.SUCCESS;
		}
		parsed.noArguments();
		List<EntryHostClient.Answer<BurnDocument>> answers = new EntryHostClient()
			.read(FleetAccess.operatorAddresses(parsed), "/burn", BurnDocument.class);
		List<BurnDocument> documents = answers.stream()
			.map(EntryHostClient.Answer::document)
			.flatMap(Optional::stream)
			.toList();
		BurnReport report = BurnReport.of(documents, TimeUnit.MILLISECONDS.toMinutes(System.currentTimeMillis()));
		List<Silent> silent = answers.stream()
			.filter((answer) -> answer.document().isEmpty())
			.map((answer) -> new Silent(answer.address(), answer.problem()))
			.toList();
		if (parsed.has("json")) {
			output.print(
					OperatorDocuments.print(new Printed(BurnReport.WINDOWS, report.rows(), silent, report.tooFast())));
		}
		else {
			print(report, documents.size(), silent, output);
		}
		if (report.tooFast()) {
			return ExitStatus.BUDGET_BURNING;
		}
		return silent.isEmpty() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
	}

	private static void print(BurnReport report, int heard, List<Silent> silent, PrintStream output) {
		output.println("entry hosts that answered: " + heard);
		silent.forEach((host) -> output
			.println("NO ANSWER from " + host.address() + ": " + host.problem() + "; its requests are missing below"));
		output.printf("%-12s %-24s %9s  %-31s  %-31s %6s%n", "", "", "", "burn of slow answers", "burn of refusals",
				"");
		output.printf("%-12s %-24s %9s  %7s %7s %7s %7s  %7s %7s %7s %7s %6s%n", "service", "scope", "requests", "5m",
				"1h", "30m", "6h", "5m", "1h", "30m", "6h", "left");
		report.rows().forEach((row) -> output.println(line(row)));
		report.rows()
			.stream()
			.map((row) -> row.scope().service())
			.distinct()
			.flatMap(report::worstServed)
			.forEach((row) -> output.printf("worst served at %s: %s, %.0f%% of its budget left%n",
					row.scope().service(), row.scope().name(), 100 * row.left()));
		output.println(report.tooFast() ? "a budget burns too fast" : "no budget burns too fast");
	}

	private static String line(BurnReport.Row row) {
		BurnReport.Scope scope = row.scope();
		String name = scope.kind().equals(scope.name()) ? scope.kind() : scope.kind() + " " + scope.name();
		return String.format("%-12s %-24s %9d  %s  %s %5.0f%%%s", scope.service(), name, row.requests(),
				burns(row.slowBurn()), burns(row.refusedBurn()), 100 * row.left(), row.tooFast() ? " TOO FAST" : "");
	}

	private static String burns(List<Double> burns) {
		return String.format("%7.2f %7.2f %7.2f %7.2f", burns.toArray());
	}

	/**
	 * An entry host that did not answer.
	 *
	 * @param address the operators' address
	 * @param problem why there is no answer
	 */
	record Silent(String address, String problem) {
	}

	/**
	 * The report as a JSON document.
	 *
	 * @param windowMinutes the windows in minutes, in the order of each row's burns
	 * @param rows the rows
	 * @param silent the entry hosts that did not answer
	 * @param tooFast whether a budget burns too fast
	 */
	record Printed(List<Integer> windowMinutes, List<BurnReport.Row> rows, List<Silent> silent, boolean tooFast) {
	}

}
