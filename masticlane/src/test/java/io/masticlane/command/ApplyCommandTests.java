package io.masticlane.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import com.sun.net.httpserver.HttpServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Region;
import io.masticlane.demo.StoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ApplyCommandTests {

	private StoreStandIn store;

	private HttpServer entryHost;

	private volatile long revision;

	private Path file;

	@BeforeMethod
	public void start() throws IOException {
		this.revision = 0;
		this.store = new StoreStandIn(new InetSocketAddress("127.0.0.1", 0));
		this.entryHost = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
		this.entryHost.createContext("/status", (exchange) -> {
			byte[] body = ("{\"revision\":" + this.revision + "}").getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(200, body.length);
			exchange.getResponseBody().write(body);
			exchange.close();
		});
		this.entryHost.start();
		this.file = Files.createTempFile("configuration", ".json");
		Files.writeString(this.file, ConfigurationDocument.print(configuration()));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.entryHost.stop(0);
		this.store.close();
		Files.deleteIfExists(this.file);
	}

	@Test
	public void conflictReportsBothRevisionsAndWritesNothing() {
		assertEquals(apply("--expect=0", "--wait=0").status(), ExitStatus.SUCCESS);
		long first = shownRevision();
		assertEquals(apply("--expect=" + first, "--wait=0").status(), ExitStatus.SUCCESS);
		Run conflicting = apply("--expect=" + first, "--wait=0");
		assertEquals(conflicting.status(), ExitStatus.CONFLICT);
		assertTrue(
				conflicting.text()
					.contains("based on revision " + first + ", but the last is revision " + shownRevision()),
				conflicting.text());
	}

	@Test
	public void applyReportsEntryHostsThatDidNotConfirm() {
		this.revision = 2;
		this.store.loseData();
		assertEquals(apply("--expect=0", "--wait=0").status(), ExitStatus.SUCCESS);
		this.revision = 3;
		Run aheadOfStore = apply("--expect=2", "--wait=1");
		assertEquals(aheadOfStore.status(), ExitStatus.FAILURE, aheadOfStore.text());
		this.revision = 2;
		Run unconfirmed = apply("--expect=2", "--wait=1");
		assertEquals(unconfirmed.status(), ExitStatus.UNCONFIRMED, unconfirmed.text());
		assertTrue(unconfirmed.text().contains("not confirmed: entry-1 at "), unconfirmed.text());
		assertTrue(unconfirmed.text().contains("has revision 2"), unconfirmed.text());
		assertTrue(unconfirmed.text().contains("no majority confirmed"), unconfirmed.text());
	}

	@Test
	public void applyWritesNothingToStoreThatLostItsData() {
		this.revision = 40;
		Run run = apply("--expect=0");
		assertEquals(run.status(), ExitStatus.FAILURE);
		assertTrue(run.text().contains("the store lost data; nothing was written"), run.text());
		assertEquals(shownRevision(), 0);
	}

	@Test(dataProvider = "invalidArguments")
	public void invalidInputPrintsOneLineAndWritesNothing(String expected, List<String> arguments) {
		Run run = run(arguments);
		assertEquals(run.status(), ExitStatus.USAGE, run.text());
		assertEquals(run.text().lines().count(), 1, run.text());
		assertTrue(run.text().contains(expected), run.text());
		assertEquals(shownRevision(), 0);
	}

	@DataProvider
	public Object[][] invalidArguments() throws IOException {
		Path invalid = Files.createTempFile("broken", ".json");
		Files.writeString(invalid, "{\"schemaVersion\":7,\"name\":\"test\"}");
		Path large = Files.createTempFile("large", ".json");
		Files.write(large, new byte[ConfigurationDocument.MAXIMUM_BYTES + 1]);
		Stream.of(invalid, large).forEach((path) -> path.toFile().deleteOnExit());
		return new Object[][] { { "--wrong: ", List.of("apply", "--wrong=1", "x") },
				{ "FILE: got '/nowhere/x', expected a file", List.of("apply", "--expect=0", "/nowhere/x") },
				{ "schemaVersion: got '7', expected the version 1", List.of("apply", invalid.toString()) },
				{ "schemaVersion: got '7', expected the version 1", List.of("plan", invalid.toString()) },
				{ "FILE: got " + (ConfigurationDocument.MAXIMUM_BYTES + 1) + " bytes",
						List.of("apply", large.toString()) },
				{ "--expect: got 'last', expected a whole number", List.of("apply", "--expect=last", "FILE") },
				{ "--wait: got '-1', expected a whole number", List.of("apply", "--expect=0", "--wait=-1", "FILE") },
				{ "got 2 arguments, expected one", List.of("apply", "a", "b") },
				{ "got 'x', expected flags alone", List.of("show", "x") } };
	}

	private Run apply(String... flags) {
		return run(Stream.concat(Stream.of("apply"), Stream.concat(Stream.of(flags), Stream.of("FILE"))).toList());
	}

	private long shownRevision() {
		return Long.parseLong(run(List.of("show", "--revision")).text().trim());
	}

	private Run run(List<String> arguments) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
		String address = "--store-address=127.0.0.1:" + this.store.address().getPort();
		List<String> all = Stream.concat(arguments.stream(), Stream.of(address))
			.map((each) -> each.equals("FILE") ? this.file.toString() : each)
			.toList();
		return new Run(Main.run(all, stream, stream), output.toString(StandardCharsets.UTF_8));
	}

	private Configuration configuration() {
		String address = "127.0.0.1:" + this.entryHost.getAddress().getPort();
		return Configuration.named("test")
			.withRegions(List.of(new Region("west", 1)))
			.withDataCentres(List.of(new DataCentre("west-1", "west")))
			.withEntryHosts(List.of(new EntryHost("entry-1", "west-1", "127.0.0.1:1", "127.0.0.1:2", address)));
	}

	/**
	 * The result of a command.
	 *
	 * @param status the exit status
	 * @param text the printed text
	 */
	private record Run(ExitStatus status, String text) {
	}

}
