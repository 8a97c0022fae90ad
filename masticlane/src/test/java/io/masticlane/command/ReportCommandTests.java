package io.masticlane.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.Objective;
import io.masticlane.operator.Metrics;
import io.masticlane.operator.OperatorServer;
import io.masticlane.operator.StatusDocument;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ReportCommandTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private Metrics metrics;

	private OperatorServer server;

	private String address;

	@BeforeMethod
	public void startEntryHost() throws IOException {
		this.output.reset();
		this.metrics = new Metrics();
		this.metrics.burn().configure(List.of(new Objective("ledger", 100, 0.99, 0.001)));
		this.address = freeAddress();
		int port = Integer.parseInt(this.address.substring(this.address.indexOf(':') + 1));
		this.server = new OperatorServer(new InetSocketAddress("127.0.0.1", port), this.metrics, () -> true,
				() -> new StatusDocument("entry-1", "incarnation", 7, true, false, 0, 0, 0, List.of()),
				() -> this.metrics.burn().document("entry-1", "west"));
	}

	@AfterMethod(alwaysRun = true)
	public void stopEntryHost() {
		this.server.close();
	}

	@Test
	public void unresponsiveEntryHostIsListed() throws IOException {
		String unresponsive = freeAddress();
		assertEquals(run("report", "--operator-addresses", this.address + "," + unresponsive), ExitStatus.FAILURE);
		assertTrue(printed().contains("NO ANSWER from " + unresponsive), printed());
		assertEquals(run("report", "--json", "--operator-addresses", this.address + "," + unresponsive),
				ExitStatus.FAILURE);
		assertTrue(printed().contains("\"silent\":[{\"address\":\"" + unresponsive + "\""), printed());
		assertEquals(run("status", "--operator-addresses", this.address + "," + unresponsive), ExitStatus.FAILURE);
		assertTrue(printed().contains(unresponsive + ": NO ANSWER"), printed());
	}

	@Test
	public void exitStatusReportsWhetherBudgetBurnsTooFast() {
		this.metrics.recordRequest("ledger", "org-1", "answered", TimeUnit.MILLISECONDS.toNanos(1));
		assertEquals(run("report", "--operator-addresses", this.address), ExitStatus.SUCCESS, printed());
		this.metrics.recordRequest("ledger", "org-1", "overloaded", TimeUnit.MILLISECONDS.toNanos(1));
		assertEquals(run("report", "--operator-addresses", this.address), ExitStatus.BUDGET_BURNING, printed());
	}

	private ExitStatus run(String... arguments) {
		PrintStream stream = new PrintStream(this.output, true, StandardCharsets.UTF_8);
		return Main.run(List.of(arguments), stream, stream);
	}

	private String printed() {
		return this.output.toString(StandardCharsets.UTF_8);
	}

	private static String freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

}
