package io.masticlane.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.Store;

/**
 * Prints the latest configuration in the store.
 */
final class ShowCommand implements Command {

	@Override
	public String name() {
		return "show";
	}

	@Override
	public String summary() {
		return "Prints the latest configuration in the store, or only its revision.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
			StoreAccess.declareOptions(parser);
			parser.accepts("revision", "Prints only the revision.");
		});
		if (parsed.printHelpIfRequested(output, this, "--store-address ADDRESS [--revision]")) {
			return ExitStatus.SUCCESS;
		}
		parsed.requireNoArguments();
		StoreAccess access = StoreAccess.of(parsed);
		Optional<Store.Entry> entry = access.store().read(access.key()).join();
		if (parsed.has("revision")) {
			output.println(entry.map(Store.Entry::revision).orElse(Store.ABSENT));
		}
		else {
			entry.ifPresent((found) -> output
				.print(new String(ConfigurationEnvelope.decode(found.value()).document(), StandardCharsets.UTF_8)));
		}
		return ExitStatus.SUCCESS;
	}

}
