package io.masticlane.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import io.masticlane.demo.BackendStandIn;
import io.masticlane.fixture.Fleet;
import io.masticlane.fixture.RawCaller;
import io.masticlane.fixture.SlowCaller;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * The ends of callers' connections by an entry host while responses are on their way.
 */
public class CallerConnectionTests {

	/**
	 * The size of a response that fits into the buffers of the sending host.
	 */
	private static final int BUFFERED_BYTES = 100_000;

	private static final int PIPELINED_REQUESTS = 24;

	private static final int BODY_PARTS = 30;

	private Fleet fleet;

	@BeforeClass
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(1, 1, 7, 5, UnaryOperator.identity());
	}

	@AfterClass(alwaysRun = true)
	public void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	/**
	 * Guards against a reset that discards a response when more bytes of the caller
	 * arrive after the entry host has closed the connection.
	 */
	@Test
	public void aLastResponseReachesASlowCallerThatSendsItsNextRequestMeanwhile() throws Exception {
		int before = started();
		try (SlowCaller caller = new SlowCaller(callerAddress())) {
			caller.send(request("/ledger/x?answer=large", "Connection: close\r\n"));
			caller.readBodyTo(BUFFERED_BYTES / 2);
			caller.send(request("/ledger/next", ""));
			assertEquals(caller.readBodyTo(Integer.MAX_VALUE), BUFFERED_BYTES);
		}
		assertEquals(started(), before + 1);
	}

	/**
	 * Guards against a connection that is closed with a request in flight because too
	 * many have been read behind it.
	 */
	@Test
	public void everyRequestThatRanIsAnsweredIfTooManyArePipelined() throws Exception {
		int before = started();
		try (RawCaller caller = new RawCaller(this.fleet.callerAddress(0))) {
			caller.write(request("/ledger/x", "").repeat(PIPELINED_REQUESTS));
			int answered = caller.readAll().split("HTTP/1.1 200 ", -1).length - 1;
			assertTrue(answered > 0);
			assertEquals(started(), before + answered);
		}
	}

	/**
	 * Guards against the loss of a refusal, whose caller reads it once its body is sent.
	 */
	@Test
	public void theRefusalOfATooLargeBodyReachesACallerThatSendsItWhole() throws Exception {
		String part = "x".repeat(100_000);
		try (RawCaller caller = new RawCaller(this.fleet.callerAddress(0))) {
			caller.write(request("/ledger/x", "Content-Length: " + BODY_PARTS * part.length() + "\r\n"));
			for (int sent = 0; sent < BODY_PARTS; sent++) {
				TimeUnit.MILLISECONDS.sleep(10);
				caller.write(part);
			}
			assertTrue(caller.readAll().startsWith("HTTP/1.1 413 "));
		}
	}

	private int started() {
		return this.fleet.backendServers().stream().mapToInt(BackendStandIn::started).sum();
	}

	private InetSocketAddress callerAddress() {
		String[] parts = this.fleet.callerAddress(0).split(":");
		return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
	}

	private static String request(String path, String headers) {
		return "GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Fleet.key("org-1") + "\r\n" + headers
				+ "\r\n";
	}

}
