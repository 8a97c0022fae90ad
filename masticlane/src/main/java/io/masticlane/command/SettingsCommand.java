package io.masticlane.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.masticlane.setting.SettingsFile;

/**
 * Validates the settings file of a gateway before it is used.
 */
final class SettingsCommand implements Command {

	@Override
	public String name() {
		return "settings";
	}

	@Override
	public String summary() {
		return "Validates the settings file of a gateway: settings check FILE.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) {
		if (arguments.contains("--help")) {
			output.println("usage: masticlane settings check FILE");
			output.println(summary());
			return ExitStatus.SUCCESS;
		}
		if (arguments.size() != 2 || !arguments.get(0).equals("check")) {
			throw new UsageException("got '" + String.join(" ", arguments) + "', expected: settings check FILE");
		}
		SettingsFile file = SettingsFile.at(Path.of(arguments.get(1)));
		try {
			output.println(file.gateway());
			file.unknownNames().forEach((name) -> output.println("unknown and ignored: " + name));
		}
		catch (IOException ex) {
			throw new UsageException("got " + file.path() + ", expected a readable settings file");
		}
		return ExitStatus.SUCCESS;
	}

}
