package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CompletionException;

import io.masticlane.configuration.ConfigurationException;
import io.masticlane.setting.SettingException;

/**
 * The entry point of the executable.
 */
public final class Main {

	private static final List<Command> COMMANDS = List.of(new EntryCommand(), new ApplyCommand(), new PlanCommand(),
			new ShowCommand(), new DemoCommand(), new BenchCommand(), new ReportCommand(), new StatusCommand(),
			new DrainCommand(), new GatewayCommand(), new SettingsCommand(), new RehearseCommand(),
			new ExplainCommand());

	private Main() {
	}

	/**
	 * Runs a subcommand and exits with its status.
	 * @param arguments the subcommand and its arguments
	 */
	public static void main(String[] arguments) {
		ExitStatus status = run(List.of(arguments), System.out, System.err);
		System.out.flush();
		System.exit(status.code());
	}

	static ExitStatus run(List<String> arguments, PrintStream output, PrintStream errors) {
		try {
			return dispatch(arguments, output);
		}
		catch (UsageException | SettingException | ConfigurationException ex) {
			errors.println("masticlane: " + ex.getMessage());
			return ExitStatus.USAGE;
		}
		catch (Exception ex) {
			Throwable cause = (ex instanceof CompletionException && ex.getCause() != null) ? ex.getCause() : ex;
			errors.println("masticlane: " + cause.getMessage());
			return ExitStatus.FAILURE;
		}
	}

	private static ExitStatus dispatch(List<String> arguments, PrintStream output) throws Exception {
		String name = arguments.isEmpty() ? "--help" : arguments.get(0);
		if (name.equals("--help") || name.equals("help")) {
			printHelp(output);
			return arguments.isEmpty() ? ExitStatus.USAGE : ExitStatus.SUCCESS;
		}
		if (name.equals("--version")) {
			String version = Main.class.getPackage().getImplementationVersion();
			output.println("masticlane " + ((version != null) ? version : "unpackaged"));
			return ExitStatus.SUCCESS;
		}
		Command command = COMMANDS.stream()
			.filter((each) -> each.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new UsageException("got '" + name + "', expected a command; try --help"));
		return command.run(arguments.subList(1, arguments.size()), output);
	}

	private static void printHelp(PrintStream output) {
		output.println("usage: masticlane COMMAND [ARGUMENTS]");
		output.println();
		COMMANDS.forEach((command) -> output.printf("  %-8s %s%n", command.name(), command.summary()));
		output.println();
		output.println("masticlane COMMAND --help describes a command; masticlane --version prints the version.");
		output.println("Exit status: 0 success, 1 failure, 2 invalid input, 3 conflict with another operator,");
		output.println("4 accepted but not confirmed by every entry host, 5 an error budget burns too fast.");
	}

}
