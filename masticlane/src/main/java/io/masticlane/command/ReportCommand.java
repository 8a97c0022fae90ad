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
 * Prints the burn rates of the error budgets.
 */
final class ReportCommand implements Command {

	@Override
	public String name() {
		return "report";
	}

	@Override
	public String summary() {
		return "Prints the burn rates of the error budgets by service, organisation and region.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
			FleetAccess.declareOptions(parser);
			parser.accepts("json", "Prints the report as one JSON document.");
		});
		if (parsed.printHelpIfRequested(output, this, FleetAccess.USAGE + " [--json]")) {
			return ExitStatus.SUCCESS;
		}
		parsed.requireNoArguments();
		List<EntryHostClient.Response<BurnDocument>> answers = new EntryHostClient()
			.read(FleetAccess.operatorAddresses(parsed), "/burn", BurnDocument.class);
		List<BurnDocument> documents = answers.stream()
			.map(EntryHostClient.Response::document)
			.flatMap(Optional::stream)
			.toList();
		BurnReport report = BurnReport.of(documents, TimeUnit.MILLISECONDS.toMinutes(System.currentTimeMillis()));
		List<UnresponsiveHost> unresponsive = answers.stream()
			.filter((answer) -> answer.document().isEmpty())
			.map((answer) -> new UnresponsiveHost(answer.address(), answer.problem()))
			.toList();
		if (parsed.has("json")) {
			output.print(OperatorDocuments
				.write(new ReportDocument(BurnReport.WINDOW_MINUTES, report.rows(), unresponsive, report.tooFast())));
		}
		else {
			printTable(report, documents.size(), unresponsive, output);
		}
		if (report.tooFast()) {
			return ExitStatus.BUDGET_BURNING;
		}
		return unresponsive.isEmpty() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
	}

	private static void printTable(BurnReport report, int responseCount, List<UnresponsiveHost> unresponsive,
			PrintStream output) {
		output.println("entry hosts that answered: " + responseCount);
		unresponsive.forEach((host) -> output
			.println("NO ANSWER from " + host.address() + ": " + host.problem() + "; the report omits its requests"));
		output.printf("%-12s %-24s %9s  %-31s  %-31s %6s%n", "", "", "", "burn of slow answers", "burn of refusals",
				"");
		output.printf("%-12s %-24s %9s  %7s %7s %7s %7s  %7s %7s %7s %7s %6s%n", "service", "scope", "requests", "5m",
				"1h", "30m", "6h", "5m", "1h", "30m", "6h", "left");
		report.rows().forEach((row) -> output.println(format(row)));
		report.rows()
			.stream()
			.map((row) -> row.scope().service())
			.distinct()
			.flatMap(report::worstServed)
			.forEach((row) -> output.printf("worst served at %s: %s, %.0f%% of its budget left%n",
					row.scope().service(), row.scope().name(), 100 * row.left()));
		output.println(report.tooFast() ? "a budget burns too fast" : "no budget burns too fast");
	}

	private static String format(BurnReport.Row row) {
		BurnReport.Scope scope = row.scope();
		String name = scope.kind().equals(scope.name()) ? scope.kind() : scope.kind() + " " + scope.name();
		return String.format("%-12s %-24s %9d  %s  %s %5.0f%%%s", scope.service(), name, row.requests(),
				formatBurnRates(row.slowBurn()), formatBurnRates(row.refusedBurn()), 100 * row.left(),
				row.tooFast() ? " TOO FAST" : "");
	}

	private static String formatBurnRates(List<Double> burnRates) {
		return String.format("%7.2f %7.2f %7.2f %7.2f", burnRates.toArray());
	}

	/**
	 * An entry host that did not respond.
	 *
	 * @param address the operators' address of the entry host
	 * @param problem why there is no response
	 */
	record UnresponsiveHost(String address, String problem) {
	}

	/**
	 * The report as a JSON document.
	 *
	 * @param windowMinutes the windows in minutes, in the order of the burn rates in each
	 * row
	 * @param rows the rows
	 * @param silent the entry hosts that did not respond
	 * @param tooFast whether a budget burns too fast
	 */
	record ReportDocument(List<Integer> windowMinutes, List<BurnReport.Row> rows, List<UnresponsiveHost> silent,
			boolean tooFast) {
	}

}
