package io.masticlane.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Region;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;
import io.masticlane.demo.StoreStandIn;
import io.masticlane.operator.Metrics;
import io.masticlane.operator.OperatorServer;
import io.masticlane.operator.StatusDocument;
import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.ConfigurationWriter;
import io.masticlane.store.EtcdStore;
import io.masticlane.store.Store;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class DrainCommandTests {

	private static final String KEY = "masticlane/" + ConfigurationEnvelope.KEY;

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final AtomicLong revisionInForce = new AtomicLong();

	private StoreStandIn store;

	private Store client;

	private OperatorServer server;

	@BeforeMethod
	public void startPlatform() throws IOException {
		this.output.reset();
		this.revisionInForce.set(0);
		this.store = new StoreStandIn(new InetSocketAddress("127.0.0.1", 0));
		this.client = new EtcdStore(this.store.address(), Duration.ofSeconds(2), Runnable::run);
		int port = freePort();
		this.server = new OperatorServer(new InetSocketAddress("127.0.0.1", port), new Metrics(), () -> true,
				() -> new StatusDocument("entry-1", "i", this.revisionInForce.get(), true, false, 0, 0, 0, List.of()),
				() -> new Metrics().burn().document("entry-1", "west"));
		String document = ConfigurationDocument.print(configuration("127.0.0.1:" + port));
		new ConfigurationWriter(this.client, KEY)
			.write(new ConfigurationEnvelope("nonce", document.getBytes(StandardCharsets.UTF_8)), Store.ABSENT);
	}

	@AfterMethod(alwaysRun = true)
	public void stopPlatform() {
		this.server.close();
		this.store.close();
	}

	@Test
	public void drainWaitsUntilServerIsDrainedAndResumesWhenRunAgain() {
		assertEquals(drain("ledger-1", "--wait", "0"), ExitStatus.UNCONFIRMED, printed());
		assertTrue(currentConfiguration().backendServers().get(0).leaving());
		long revision = this.client.read(KEY).join().orElseThrow().revision();
		this.revisionInForce.set(revision);
		assertEquals(drain("ledger-1"), ExitStatus.SUCCESS, printed());
		assertTrue(printed().contains("ledger-1 is leaving already") && printed().contains("ledger-1 is drained"));
		assertEquals(this.client.read(KEY).join().orElseThrow().revision(), revision, "the second run wrote nothing");
	}

	@Test
	public void drainRefusesToRemoveLastSlotsOfServiceOrRegion() {
		assertEquals(drain("ledger-3"), ExitStatus.FAILURE, printed());
		assertTrue(printed().contains("no slots in region north"), printed());
		assertEquals(drain("payout-1", "--leave-region"), ExitStatus.FAILURE, printed());
		assertTrue(printed().contains("service payout would have no slots"), printed());
		assertTrue(currentConfiguration().backendServers().stream().noneMatch(BackendServer::leaving));
	}

	@Test
	public void unknownBackendServerIsReportedByName() {
		assertEquals(drain("ledger-9"), ExitStatus.USAGE);
		assertTrue(printed().contains("got 'ledger-9', expected a backend server"), printed());
	}

	private ExitStatus drain(String server, String... flags) {
		PrintStream stream = new PrintStream(this.output, true, StandardCharsets.UTF_8);
		List<String> arguments = new ArrayList<>(
				List.of("drain", "--store-address", "127.0.0.1:" + this.store.address().getPort(), server));
		arguments.addAll(List.of(flags));
		return Main.run(arguments, stream, stream);
	}

	private Configuration currentConfiguration() {
		return ConfigurationEnvelope.decode(this.client.read(KEY).join().orElseThrow().value()).configuration();
	}

	private String printed() {
		return this.output.toString(StandardCharsets.UTF_8);
	}

	private static Configuration configuration(String operatorAddress) {
		return Configuration.named("test")
			.withRegions(List.of(new Region("west", 100), new Region("north", 100)))
			.withDataCentres(List.of(new DataCentre("west-1", "west"), new DataCentre("north-1", "north")))
			.withEntryHosts(List.of(new EntryHost("entry-1", "west-1", "127.0.0.1:1", "127.0.0.1:2", operatorAddress)))
			.withServices(List.of(Service.of("ledger", new Route("GET", "/ledger", Route.Access.OPEN, true, 50)),
					Service.of("payout", new Route("GET", "/payout", Route.Access.OPEN, true, 50))))
			.withBackendServers(List.of(BackendServer.of("ledger-1", "ledger", "west-1", "127.0.0.1:11", 7),
					BackendServer.of("ledger-2", "ledger", "west-1", "127.0.0.1:12", 7),
					BackendServer.of("ledger-3", "ledger", "north-1", "127.0.0.1:13", 7),
					BackendServer.of("payout-1", "payout", "west-1", "127.0.0.1:14", 3)));
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

}
