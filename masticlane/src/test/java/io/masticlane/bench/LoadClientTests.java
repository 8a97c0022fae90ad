package io.masticlane.bench;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import io.masticlane.fixture.RawServer;
import io.masticlane.fixture.ResponseHeads;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Responses to the load client that violate the protocol, and sound ones.
 */
public class LoadClientTests {

	private RawServer server;

	@BeforeClass
	public void start() throws IOException {
		this.server = new RawServer();
	}

	@AfterClass(alwaysRun = true)
	public void end() throws IOException {
		this.server.close();
	}

	/**
	 * Guards against a measurement of requests that were not served.
	 * @param statusLine the status line
	 * @param header a header line
	 */
	@Test(dataProvider = "malformedHeads", dataProviderClass = ResponseHeads.class)
	public void aResponseWithAMalformedHeadCountsAsAFailure(String statusLine, String header) {
		assertEquals(failures(statusLine, header), 1);
	}

	@Test
	public void aSoundResponseIsNoFailure() {
		assertEquals(failures(ResponseHeads.OK, ResponseHeads.ORDINARY_HEADER), 0);
	}

	private long failures(String statusLine, String header) {
		this.server.respondWith(statusLine + "\r\n" + header + "\r\nContent-Length: 2\r\n\r\nok");
		try (LoadClient client = new LoadClient(List.of(this.server.address()), 1, "/", "key")) {
			// One request in the 10 ms of the measurement.
			client.openLoop(100, 10);
			Map<String, Long> failures = client.failures();
			return failures.values().stream().mapToLong(Long::longValue).sum();
		}
	}

}
