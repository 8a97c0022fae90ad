package io.masticlane.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.masticlane.event.Event;
import io.masticlane.gateway.DecisionLog;
import io.masticlane.gateway.GatewayDaemon;
import io.masticlane.setting.GatewaySettings;
import io.masticlane.setting.SettingsFile;
import io.masticlane.setting.SettingsReload;
import sun.misc.Signal;

/**
 * Runs the gateway daemon until the process is terminated.
 */
final class GatewayCommand implements Command {

	private static final String SETTINGS_VARIABLE = "MASTICLANE_SETTINGS";

	@Override
	public String name() {
		return "gateway";
	}

	@Override
	public String summary() {
		return "Runs the daemon of an entry host on a platform; SIGTERM starts a planned stop.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parseSettings(arguments, GatewaySettings.DESCRIPTORS);
		if (parsed.printHelpIfRequested(output, this, "[FLAGS]")) {
			return ExitStatus.SUCCESS;
		}
		parsed.requireNoArguments();
		SettingsFile file = SettingsFile.at(Path.of(Optional.ofNullable(System.getenv(SETTINGS_VARIABLE))
			.orElseThrow(() -> new UsageException(
					"got no " + SETTINGS_VARIABLE + ", expected the path of the settings file in this variable"))));
		GatewaySettings settings = file.gateway();
		DecisionLog events = new DecisionLog(output);
		GatewayDaemon daemon = new GatewayDaemon(settings, PlatformAccess.find(), events);
		SettingsReload reload = new SettingsReload(file, daemon::settings,
				(rejected, reason) -> events.record(Event.SETTINGS_REJECTED, rejected.path(), reason));
		Signal.handle(new Signal("HUP"), (signal) -> reload.requestReload());
		Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "planned-stop"));
		daemon.start();
		reload.watch();
		return ExitStatus.SUCCESS;
	}

}
