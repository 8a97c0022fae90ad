package io.masticlane.report;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticlane.fixture.RawServer;
import io.masticlane.fixture.ResponseHeads;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/**
 * Responses of an entry host that violate the protocol, and unusual ones that do not.
 */
public class EntryHostClientTests {

	private static final String DOCUMENT = "{\"revision\":7}";

	private final EntryHostClient client = new EntryHostClient();

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
	 * Guards against a report on an entry host that did not respond to it.
	 * @param statusLine the status line
	 * @param header a header line
	 */
	@Test(dataProvider = "malformedHeads", dataProviderClass = ResponseHeads.class)
	public void aResponseWithAMalformedHeadIsAProblem(String statusLine, String header) {
		this.server.respondWith(response(statusLine, header));
		assertProblem();
	}

	/**
	 * Guards against a document that the entry host may not have written to its end.
	 */
	@Test
	public void aBodyWithoutALengthThatBreaksOffIsAProblem() {
		this.server.resetAfter("HTTP/1.1 200 OK\r\n\r\n" + DOCUMENT);
		assertProblem();
	}

	@Test(dataProvider = "soundHeads", dataProviderClass = ResponseHeads.class)
	public void anUnusualResponseIsRead(String statusLine, String header) {
		this.server.respondWith(response(statusLine, header));
		assertEquals(read().document().orElseThrow().path("revision").asInt(), 7);
	}

	private void assertProblem() {
		EntryHostClient.Response<JsonNode> response = read();
		assertEquals(response.document(), Optional.empty());
		assertFalse(response.problem().isEmpty());
	}

	private EntryHostClient.Response<JsonNode> read() {
		String address = "127.0.0.1:" + this.server.address().getPort();
		return this.client.read(List.of(address), "/status", JsonNode.class).get(0);
	}

	private static String response(String statusLine, String header) {
		return statusLine + "\r\n" + header + "\r\nContent-Length: " + DOCUMENT.length() + "\r\n\r\n" + DOCUMENT;
	}

}
