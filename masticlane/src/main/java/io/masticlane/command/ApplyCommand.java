package io.masticlane.command;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.platform.ConfigurationEnvelope;
import io.masticlane.platform.ConfigurationWriter;
import io.masticlane.platform.Store;

/**
 * Writes a printed configuration into the store.
 */
final class ApplyCommand implements Command {

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public String summary() {
		return "Writes a printed configuration, if the revision that it was based on is still the last.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
			StoreAccess.declare(parser);
			parser.accepts("expect", "The revision that the change was based on; 0 for the first configuration.")
				.withRequiredArg()
				.describedAs("revision");
		});
		if (parsed.helped(output, this, "--store-address ADDRESS --expect REVISION FILE")) {
			return ExitStatus.SUCCESS;
		}
		byte[] document = Files.readAllBytes(Path.of(parsed.argument("the file of the printed configuration")));
		ConfigurationDocument.read(document);
		StoreAccess access = StoreAccess.of(parsed);
		long expected = expected(parsed, access);
		ConfigurationEnvelope envelope = new ConfigurationEnvelope(UUID.randomUUID().toString(), document);
		ConfigurationWriter.Result result = new ConfigurationWriter(access.store(), access.key()).write(envelope,
				expected);
		return report(result, expected, output);
	}

	private static long expected(Arguments parsed, StoreAccess access) {
		if (parsed.has("expect")) {
			return parsed.number("expect", Store.ABSENT);
		}
		Optional<Store.Entry> present = access.store().read(access.key()).join();
		present.ifPresent((entry) -> {
			throw new UsageException(
					"--expect: got '', expected the revision that the change was based on; the last is "
							+ entry.revision());
		});
		return Store.ABSENT;
	}

	private static ExitStatus report(ConfigurationWriter.Result result, long expected, PrintStream output) {
		if (result.accepted()) {
			output.println("accepted as revision " + result.revision());
			return ExitStatus.SUCCESS;
		}
		output.println("conflict: the change was based on revision " + expected + ", but the last is revision "
				+ result.revision() + "; nothing was written");
		return ExitStatus.CONFLICT;
	}

}
