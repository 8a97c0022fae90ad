package io.masticlane.command;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationChanges;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.platform.ConfigurationEnvelope;
import io.masticlane.platform.Store;

/**
 * Shows what an apply would change.
 */
final class PlanCommand implements Command {

	@Override
	public String name() {
		return "plan";
	}

	@Override
	public String summary() {
		return "Shows what applying a printed configuration would change, and the revision to expect.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, StoreAccess::declare);
		if (parsed.helped(output, this, "--store-address ADDRESS FILE")) {
			return ExitStatus.SUCCESS;
		}
		Configuration next = ConfigurationDocument
			.read(Files.readAllBytes(Path.of(parsed.argument("the file of the printed configuration"))));
		StoreAccess access = StoreAccess.of(parsed);
		Optional<Store.Entry> entry = access.store().read(access.key()).join();
		Configuration present = entry.map((found) -> ConfigurationEnvelope.decode(found.value()).configuration())
			.orElseGet(() -> Configuration.named(next.name()));
		List<String> changes = ConfigurationChanges.between(present, next);
		changes.forEach(output::println);
		output.println(changes.size() + " changes; apply with --expect "
				+ entry.map(Store.Entry::revision).orElse(Store.ABSENT));
		return ExitStatus.SUCCESS;
	}

}
