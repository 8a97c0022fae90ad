package io.masticlane.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.Store;

/**
 * Prints the last accepted configuration.
 */
final class ShowCommand implements Command {

	@Override
	public String name() {
		return "show";
	}

	@Override
	public String summary() {
		return "Prints the last accepted configuration, or its revision alone.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
			StoreAccess.declare(parser);
			parser.accepts("revision", "Prints the revision alone.");
		});
		if (parsed.helped(output, this, "--store-address ADDRESS [--revision]")) {
			return ExitStatus.SUCCESS;
		}
		parsed.noArguments();
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
