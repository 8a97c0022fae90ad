package io.masticlane.command;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Properties;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;

import io.masticlane.event.Event;
import io.masticlane.gateway.DecisionLog;
import io.masticlane.gateway.GatewayDaemon;
import io.masticlane.gateway.Platform;
import io.masticlane.setting.GatewaySettings;
import io.masticlane.setting.SettingException;
import io.masticlane.setting.SettingSource;
import sun.misc.Signal;

/**
 * Runs the gateway daemon until it is told to stop.
 */
final class GatewayCommand implements Command {

	private static final String SETTINGS_VARIABLE = "MASTICLANE_SETTINGS";

	@Override
	public String name() {
		return "gateway";
	}

	@Override
	public String summary() {
		return "Runs the daemon of an entry host on a platform; SIGTERM begins a planned stop.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parseSettings(arguments, GatewaySettings.DESCRIPTORS);
		if (parsed.helped(output, this, "[FLAGS]")) {
			return ExitStatus.SUCCESS;
		}
		parsed.noArguments();
		Path file = Path.of(Optional.ofNullable(System.getenv(SETTINGS_VARIABLE))
			.orElseThrow(() -> new UsageException(
					"got no " + SETTINGS_VARIABLE + ", expected the path of the settings file in it")));
		GatewaySettings settings = read(file);
		Platform platform = ServiceLoader.load(Platform.class)
			.findFirst()
			.orElseThrow(() -> new UsageException("got a build without a platform, expected one on the class path"));
		DecisionLog events = new DecisionLog(output);
		GatewayDaemon daemon = new GatewayDaemon(settings, platform, events);
		Signal.handle(new Signal("HUP"), (signal) -> reload(file, settings, events));
		Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "planned-stop"));
		daemon.start();
		new CountDownLatch(1).await();
		return ExitStatus.SUCCESS;
	}

	static GatewaySettings read(Path file) throws IOException {
		Properties lines = new Properties();
		try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
			lines.load(reader);
		}
		return GatewaySettings.from(new SettingSource(GatewaySettings.DESCRIPTORS,
				(flag) -> Optional.ofNullable(lines.getProperty(flag)).filter((value) -> !value.isBlank()),
				(variable) -> Optional.ofNullable(System.getenv(variable))));
	}

	private static void reload(Path file, GatewaySettings settings, DecisionLog events) {
		try {
			events.record(Event.SETTINGS_READ, file, !read(file).equals(settings));
		}
		catch (IOException | SettingException ex) {
			events.record(Event.SETTINGS_REJECTED, file, ex.getMessage());
		}
	}

}
