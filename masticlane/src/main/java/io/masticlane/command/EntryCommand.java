package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.masticlane.entry.EntryDaemon;
import io.masticlane.event.EventLog;
import io.masticlane.setting.EntrySettings;

/**
 * Runs the entry daemon until the process is terminated.
 */
final class EntryCommand implements Command {

	@Override
	public String name() {
		return "entry";
	}

	@Override
	public String summary() {
		return "Runs the daemon of an entry host; SIGTERM starts a planned stop.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parseSettings(arguments, EntrySettings.DESCRIPTORS);
		if (parsed.printHelpIfRequested(output, this, "[FLAGS]")) {
			return ExitStatus.SUCCESS;
		}
		parsed.requireNoArguments();
		EntrySettings settings = EntrySettings.from(parsed.settingSource(EntrySettings.DESCRIPTORS));
		EntryDaemon daemon = new EntryDaemon(settings, new EventLog.ForTinylog());
		Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain, "planned-stop"));
		new CountDownLatch(1).await();
		return ExitStatus.SUCCESS;
	}

}
