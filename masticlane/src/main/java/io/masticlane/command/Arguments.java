package io.masticlane.command;

import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import io.masticlane.setting.Setting;
import io.masticlane.setting.SettingSource;
import joptsimple.BuiltinHelpFormatter;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * The parsed arguments of a subcommand.
 */
final class Arguments {

	private static final int HELP_WIDTH = 100;

	private static final int HELP_COLUMN_SEPARATOR_WIDTH = 2;

	private final OptionParser parser;

	private final OptionSet options;

	private Arguments(OptionParser parser, OptionSet options) {
		this.parser = parser;
		this.options = options;
	}

	static Arguments parse(List<String> arguments, Consumer<OptionParser> optionDeclarations) {
		OptionParser parser = new OptionParser(false);
		parser.formatHelpWith(new BuiltinHelpFormatter(HELP_WIDTH, HELP_COLUMN_SEPARATOR_WIDTH));
		parser.accepts("help", "Prints this help.").forHelp();
		optionDeclarations.accept(parser);
		try {
			return new Arguments(parser, parser.parse(arguments.toArray(String[]::new)));
		}
		catch (OptionException ex) {
			throw new UsageException("--" + String.join(", --", ex.options()) + ": " + ex.getMessage()
					+ ", expected one of " + String.join(", ", flags(parser)) + "; try --help");
		}
	}

	private static List<String> flags(OptionParser parser) {
		return parser.recognizedOptions()
			.keySet()
			.stream()
			.filter((name) -> !name.startsWith("["))
			.sorted()
			.map((name) -> "--" + name)
			.toList();
	}

	static Arguments parseSettings(List<String> arguments, List<Setting> settings) {
		return parse(
				arguments, (
						parser) -> settings
							.forEach(
									(setting) -> parser
										.accepts(setting.flag(),
												setting.description() + " Environment: "
														+ setting.environmentVariable())
										.withRequiredArg()
										.describedAs(setting.type())));
	}

	boolean printHelpIfRequested(PrintStream output, Command command, String usage) throws IOException {
		if (!this.options.has("help")) {
			return false;
		}
		StringWriter help = new StringWriter();
		this.parser.printHelpOn(help);
		output.println("usage: masticlane " + command.name() + " " + usage);
		output.println(command.summary());
		output.println();
		output.print(help);
		return true;
	}

	boolean has(String flag) {
		return this.options.has(flag);
	}

	Optional<String> value(String flag) {
		return (this.options.has(flag) && this.options.valueOf(flag) != null)
				? Optional.of(this.options.valueOf(flag).toString()) : Optional.empty();
	}

	String valueOr(String flag, String environmentVariable, String defaultValue) {
		return value(flag).or(() -> Optional.ofNullable(System.getenv(environmentVariable))).orElse(defaultValue);
	}

	InetSocketAddress address(String flag, String environmentVariable) {
		return SettingSource.parseAddress(flag, valueOr(flag, environmentVariable, ""));
	}

	long number(String flag, long defaultValue) {
		String text = value(flag).orElse(Long.toString(defaultValue));
		if (!text.matches("[0-9]{1,18}")) {
			throw new UsageException("--" + flag + ": got '" + text + "', expected a whole number");
		}
		return Long.parseLong(text);
	}

	String singleArgument(String name) {
		List<?> arguments = this.options.nonOptionArguments();
		if (arguments.size() != 1) {
			throw new UsageException("got " + arguments.size() + " arguments, expected one: " + name);
		}
		return arguments.get(0).toString();
	}

	void requireNoArguments() {
		if (!this.options.nonOptionArguments().isEmpty()) {
			throw new UsageException("got '" + this.options.nonOptionArguments().get(0) + "', expected flags alone");
		}
	}

	SettingSource settingSource(List<Setting> settings) {
		Function<String, Optional<String>> environment = (name) -> Optional.ofNullable(System.getenv(name));
		return new SettingSource(settings, this::value, environment);
	}

}
