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
 * Writes a printed configuration to the store.
 */
final class ApplyCommand implements Command {

	private static final long DEFAULT_WAIT_SECONDS = 10;

	@Override
	public String name() {
		return "apply";
	}

	@Override
	public String summary() {
		return "Writes a printed configuration to the store if the expected revision is still the latest.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
			StoreAccess.declareOptions(parser);
			parser.accepts("expect", "The revision that the change was based on; 0 for the first configuration.")
				.withRequiredArg()
				.describedAs("revision");
			parser
				.accepts("wait",
						"The maximum time to wait for confirmation by every entry host; 0 skips it. Default: "
								+ DEFAULT_WAIT_SECONDS)
				.withRequiredArg()
				.describedAs("seconds");
		});
		if (parsed.printHelpIfRequested(output, this,
				"--store-address ADDRESS --expect REVISION [--wait SECONDS] FILE")) {
			return ExitStatus.SUCCESS;
		}
		byte[] document = StoreAccess.readDocument(parsed);
		Configuration next = ConfigurationDocument.read(document);
		long wait = parsed.number("wait", DEFAULT_WAIT_SECONDS);
		StoreAccess access = StoreAccess.of(parsed);
		Optional<Store.Entry> current = access.store().read(access.key()).join();
		long expected = expectedRevision(parsed, current);
		List<EntryHost> hosts = entryHosts(current, next);
		EntryHostStatuses statuses = new EntryHostStatuses();
		Optional<EntryHostStatuses.Status> ahead = findAheadOfStore(statuses, hosts, access, wait);
		if (ahead.isPresent()) {
			output.println("the store holds an older revision than " + ahead.get().describe()
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

	private static long expectedRevision(Arguments parsed, Optional<Store.Entry> current) {
		if (!parsed.has("expect") && current.isPresent()) {
			throw new UsageException(
					"--expect: got '', expected the revision that the change was based on; the last is "
							+ current.get().revision());
		}
		return parsed.number("expect", Store.ABSENT);
	}

	private static List<EntryHost> entryHosts(Optional<Store.Entry> current, Configuration next) {
		Stream<EntryHost> removed = current.stream()
			.flatMap((entry) -> StoreAccess.decodeIfValid(entry).stream())
			.flatMap((configuration) -> configuration.entryHosts().stream())
			.filter((host) -> next.entryHosts().stream().noneMatch((each) -> each.name().equals(host.name())));
		return Stream.concat(next.entryHosts().stream(), removed).toList();
	}

	/**
	 * Finds an entry host whose revision is higher than the latest one in the store,
	 * which means that the store lost data.
	 * @param statuses queries the entry hosts
	 * @param hosts the entry hosts
	 * @param access the access to the store
	 * @param wait the time in seconds to wait for entry hosts, or zero to query none
	 * @return the status of that entry host, or empty
	 */
	private static Optional<EntryHostStatuses.Status> findAheadOfStore(EntryHostStatuses statuses,
			List<EntryHost> hosts, StoreAccess access, long wait) {
		if (wait == 0) {
			return Optional.empty();
		}
		List<EntryHostStatuses.Status> responses = statuses.query(hosts);
		long storedRevision = access.store().revision(access.key()).join();
		return responses.stream().filter((status) -> status.confirms(storedRevision + 1)).findFirst();
	}

	private static ExitStatus report(ConfigurationWriter.Result result, long expected, PrintStream output) {
		switch (result.verdict()) {
			case ACCEPTED -> {
				String superseded = "; revision " + result.lastRevision() + " was written after it";
				output.println("accepted as revision " + result.revision()
						+ ((result.lastRevision() > result.revision()) ? superseded : ""));
				return ExitStatus.SUCCESS;
			}
			case CONFLICT -> {
				output.println("conflict: the change was based on revision " + expected + ", but the last is revision "
						+ result.revision() + "; nothing was written");
				return ExitStatus.CONFLICT;
			}
			default -> {
				output.println("unknown: the store did not report whether the write took effect; check "
						+ "'masticlane show' before another apply");
				return ExitStatus.FAILURE;
			}
		}
	}

}
