package io.masticlane.command;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Route;
import io.masticlane.report.DrainProgress;
import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.ConfigurationWriter;
import io.masticlane.store.Store;

/**
 * Marks a backend server as leaving and waits until it has no requests. After an
 * interruption, running the command again resumes the wait.
 */
final class DrainCommand implements Command {

	private static final long DEFAULT_WAIT_SECONDS = 30;

	@Override
	public String name() {
		return "drain";
	}

	@Override
	public String summary() {
		return "Drains a backend server and waits until it has no requests; run it again to resume.";
	}

	@Override
	public ExitStatus run(List<String> arguments, PrintStream output) throws Exception {
		Arguments parsed = Arguments.parse(arguments, (parser) -> {
			StoreAccess.declareOptions(parser);
			parser.accepts("leave-region", "Drains the server even if the service loses its last slots in the region.");
			parser
				.accepts("wait",
						"The maximum time to wait for confirmation by every entry host. Default: "
								+ DEFAULT_WAIT_SECONDS)
				.withRequiredArg()
				.describedAs("seconds");
		});
		if (parsed.printHelpIfRequested(output, this,
				"--store-address ADDRESS [--leave-region] [--wait SECONDS] BACKEND-SERVER")) {
			return ExitStatus.SUCCESS;
		}
		StoreAccess access = StoreAccess.of(parsed);
		Store.Entry entry = access.store()
			.read(access.key())
			.join()
			.orElseThrow(() -> new UsageException("the store holds no configuration"));
		Configuration configuration = ConfigurationEnvelope.decode(entry.value()).configuration();
		BackendServer server = findServer(configuration, parsed.singleArgument("the name of the backend server"));
		long revision = entry.revision();
		if (server.leaving()) {
			output.println(server.name() + " is leaving already; the last revision is " + revision);
		}
		else {
			Optional<String> objection = findObjection(configuration, server, parsed.has("leave-region"));
			if (objection.isPresent()) {
				output.println("refused: " + objection.get() + "; nothing was written");
				return ExitStatus.FAILURE;
			}
			ConfigurationWriter.Result result = writeLeaving(access, configuration, server, revision);
			if (!result.accepted()) {
				output.println("conflict: the change was based on revision " + revision + ", but the last is revision "
						+ result.revision() + "; run drain again");
				return ExitStatus.CONFLICT;
			}
			revision = result.revision();
			output.println(server.name() + " is leaving as of revision " + revision);
		}
		long waitMillis = TimeUnit.SECONDS.toMillis(parsed.number("wait", DEFAULT_WAIT_SECONDS));
		return awaitDrained(configuration, server, revision, waitMillis, output);
	}

	private static BackendServer findServer(Configuration configuration, String name) {
		return configuration.backendServers()
			.stream()
			.filter((server) -> server.name().equals(name))
			.findFirst()
			.orElseThrow(
					() -> new UsageException("got '" + name + "', expected a backend server of the configuration"));
	}

	private static Optional<String> findObjection(Configuration configuration, BackendServer server,
			boolean leaveRegion) {
		List<BackendServer> others = configuration.backendServers()
			.stream()
			.filter((other) -> other.service().equals(server.service()) && !other.leaving()
					&& !other.name().equals(server.name()))
			.toList();
		if (others.isEmpty()) {
			return Optional.of("service " + server.service() + " would have no slots");
		}
		String region = regionOf(configuration, server);
		boolean regionKeepsSlots = others.stream().anyMatch((other) -> regionOf(configuration, other).equals(region));
		return (regionKeepsSlots || leaveRegion) ? Optional.empty()
				: Optional.of("service " + server.service() + " would have no slots in region " + region
						+ ", so that its requests would go to other regions; " + "--leave-region allows it");
	}

	private static String regionOf(Configuration configuration, BackendServer server) {
		return configuration.dataCentres()
			.stream()
			.filter((dataCentre) -> dataCentre.name().equals(server.dataCentre()))
			.findFirst()
			.orElseThrow()
			.region();
	}

	private static ConfigurationWriter.Result writeLeaving(StoreAccess access, Configuration configuration,
			BackendServer server, long expected) {
		Configuration next = configuration.withBackendServers(configuration.backendServers()
			.stream()
			.map((each) -> each.name().equals(server.name()) ? each.withLeaving(true) : each)
			.toList());
		byte[] document = ConfigurationDocument.print(next).getBytes(StandardCharsets.UTF_8);
		return new ConfigurationWriter(access.store(), access.key())
			.write(new ConfigurationEnvelope(UUID.randomUUID().toString(), document), expected);
	}

	private static ExitStatus awaitDrained(Configuration configuration, BackendServer server, long revision,
			long waitMillis, PrintStream output) throws InterruptedException {
		List<String> addresses = configuration.entryHosts().stream().map(EntryHost::operatorAddress).toList();
		List<String> unconfirmed = new DrainProgress(addresses, output).awaitInForce(revision, waitMillis);
		if (!unconfirmed.isEmpty()) {
			unconfirmed.forEach((address) -> output.println("not confirmed by " + address));
			output.println("the entry hosts above may still send new requests; run drain again");
			return ExitStatus.UNCONFIRMED;
		}
		long deadlineMillis = configuration.services()
			.stream()
			.filter((service) -> service.name().equals(server.service()))
			.flatMap((service) -> service.routes().stream())
			.mapToLong(Route::deadlineMillis)
			.max()
			.orElse(0);
		output.printf("no entry host sends new requests; requests in flight end within %.1f s%n",
				deadlineMillis / (double) TimeUnit.SECONDS.toMillis(1));
		TimeUnit.MILLISECONDS.sleep(deadlineMillis);
		output.println(server.name() + " is drained");
		return ExitStatus.SUCCESS;
	}

}
