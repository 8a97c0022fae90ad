package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Stream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.EntryHost;
import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.ConfigurationWriter;
import io.masticlane.store.Store;

/**
 * Writes a printed configuration into the store.
 */
final class ApplyCommand implements Command {

	private static final long DEFAULT_WAIT_SECONDS = 10;

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
			parser
				.accepts("wait",
						"The longest time to wait until every entry host confirms; 0 asks none. Default: "
								+ DEFAULT_WAIT_SECONDS)
				.withRequiredArg()
				.describedAs("seconds");
		});
		if (parsed.helped(output, this, "--store-address ADDRESS --expect REVISION [--wait SECONDS] FILE")) {
			return ExitStatus.SUCCESS;
		}
		byte[] document = StoreAccess.document(parsed);
		Configuration next = ConfigurationDocument.read(document);
		long wait = parsed.number("wait", DEFAULT_WAIT_SECONDS);
		StoreAccess access = StoreAccess.of(parsed);
		Optional<Store.Entry> present = access.store().read(access.key()).join();
		long expected = expected(parsed, present);
		List<EntryHost> hosts = hosts(present, next);
		EntryHostStatuses statuses = new EntryHostStatuses();
		Optional<EntryHostStatuses.Status> newer = newer(statuses, hosts, access, wait);
		if (newer.isPresent()) {
			output.println("the store holds an older revision than " + newer.get().text()
					+ ": the store lost data; nothing was written");
			return ExitStatus.FAILURE;
		}
		ConfigurationEnvelope envelope = new ConfigurationEnvelope(UUID.randomUUID().toString(), document);
		ConfigurationWriter.Result result = new ConfigurationWriter(access.store(), access.key()).write(envelope,
				expected);
		ExitStatus status = report(result, expected, output);
		return result.accepted()
				? new Confirmation(statuses, hosts, next.entryHosts().size()).await(result.revision(), wait, output)
				: status;
	}

	private static long expected(Arguments parsed, Optional<Store.Entry> present) {
		if (!parsed.has("expect") && present.isPresent()) {
			throw new UsageException(
					"--expect: got '', expected the revision that the change was based on; the last is "
							+ present.get().revision());
		}
		return parsed.number("expect", Store.ABSENT);
	}

	private static List<EntryHost> hosts(Optional<Store.Entry> present, Configuration next) {
		Stream<EntryHost> former = present.stream()
			.flatMap((entry) -> StoreAccess.readable(entry).stream())
			.flatMap((configuration) -> configuration.entryHosts().stream())
			.filter((host) -> next.entryHosts().stream().noneMatch((each) -> each.name().equals(host.name())));
		return Stream.concat(next.entryHosts().stream(), former).toList();
	}

	/**
	 * Finds an entry host that has a newer revision in force than the store holds.
	 * @param statuses asks the entry hosts
	 * @param hosts the entry hosts
	 * @param access the access to the store
	 * @param wait the time to wait for entry hosts, or zero if none is to be asked
	 * @return what the entry host told, or nothing
	 */
	private static Optional<EntryHostStatuses.Status> newer(EntryHostStatuses statuses, List<EntryHost> hosts,
			StoreAccess access, long wait) {
		if (wait == 0) {
			return Optional.empty();
		}
		List<EntryHostStatuses.Status> told = statuses.of(hosts);
		long held = access.store().revision(access.key()).join();
		return told.stream().filter((status) -> status.confirms(held + 1)).findFirst();
	}

	private static ExitStatus report(ConfigurationWriter.Result result, long expected, PrintStream output) {
		switch (result.verdict()) {
			case ACCEPTED -> {
				String superseded = "; revision " + result.last() + " came on top of it";
				output.println("accepted as revision " + result.revision()
						+ ((result.last() > result.revision()) ? superseded : ""));
				return ExitStatus.SUCCESS;
			}
			case CONFLICT -> {
				output.println("conflict: the change was based on revision " + expected + ", but the last is revision "
						+ result.revision() + "; nothing was written");
				return ExitStatus.CONFLICT;
			}
			default -> {
				output.println("unknown: the store did not tell whether the write took effect; look at "
						+ "'masticlane show' before another apply");
				return ExitStatus.FAILURE;
			}
		}
	}

}
