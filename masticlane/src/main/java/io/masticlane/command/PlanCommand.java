package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationChanges;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.store.Store;

/**
 * Shows what applying a configuration would change.
 */
final class PlanCommand implements Command {

	@Override
	public String name() {
		return "plan";
	}

	@Override
	public String summary() {
		return "Shows what applying a printed configuration would change, and the revision to pass to --expect.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, StoreAccess::declareOptions);
		if (parsed.printHelpIfRequested(output, this, "--store-address ADDRESS FILE")) {
			return ExitStatus.SUCCESS;
		}
		Configuration next = ConfigurationDocument.read(StoreAccess.readDocument(parsed));
		StoreAccess access = StoreAccess.of(parsed);
		Optional<Store.Entry> entry = access.store().read(access.key()).join();
		Configuration current = entry.flatMap(StoreAccess::decodeIfValid)
			.orElseGet(() -> Configuration.named(next.name()));
		if (entry.isPresent() && StoreAccess.decodeIfValid(entry.get()).isEmpty()) {
			output.println("the current configuration is not valid; every element counts as added");
		}
		List<String> changes = ConfigurationChanges.between(current, next);
		changes.forEach(output::println);
		output.println(changes.size() + " changes; apply with --expect "
				+ entry.map(Store.Entry::revision).orElse(Store.ABSENT));
		return ExitStatus.SUCCESS;
	}

}
