package io.masticlane.caller;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.UUID;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.demo.BackendStandIn;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.Fleet;
import io.masticlane.fixture.RawCaller;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Tests that each request gets its own complete response and that malformed input is
 * refused, with one entry host and three backend servers.
 */
public class CallerServerTests {

	private static final String KEY = Fleet.key("org-1");

	private Fleet fleet;

	@BeforeClass
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(1, 3, 7, 5, UnaryOperator.identity());
	}

	@AfterClass(alwaysRun = true)
	public void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	public void aTruncatedResponseIsSeenAsTruncated() {
		List.of("truncated", "unfinished", "reset")
			.forEach((behaviour) -> expectThrows(IOException.class, () -> get(behaviour)));
	}

	@Test
	public void aResponseToAnotherRequestIsNeverForwarded() throws Exception {
		HttpResponse<String> response = get("crossed");
		assertEquals(response.headers().firstValue("Request-Outcome").orElse(""), "unknown", response.body());
		assertFalse(response.body().contains("org-1"), response.body());
	}

	@Test
	public void anUnsolicitedResponseIsNeverUsedForTheNextRequest() throws Exception {
		for (int each = 0; each < 20; each++) {
			assertTrue(get("doubled").body().endsWith("?answer=doubled\n"));
			String path = "/ledger/" + each;
			HttpResponse<String> response = this.fleet.send(0, Fleet.Call.get(path).withKeyOf("org-1"));
			assertTrue(response.body().endsWith(" " + path + "\n"), response.body());
		}
	}

	@Test
	public void responsesWithEveryFramingAreForwardedCompletely() throws Exception {
		assertTrue(get("informed").body().endsWith("?answer=informed\n"));
		assertTrue(get("unsized").body().endsWith("?answer=unsized\n"));
		HttpResponse<String> empty = get("empty");
		assertEquals(empty.statusCode(), 204);
		HttpResponse<String> head = this.fleet.send(0, new Fleet.Call("HEAD", "/open/x", List.of(), ""));
		assertEquals(head.body(), "");
	}

	@Test
	public void pipelinedRequestsGetTheirResponsesInOrder() throws Exception {
		try (RawCaller caller = new RawCaller(this.fleet.callerAddress(0))) {
			caller.write(request("/ledger/1?answer=late") + request("/ledger/2") + "NONSENSE\r\n\r\n");
			String read = caller.readAll();
			List<Integer> positions = List.of(read.indexOf("/ledger/1"), read.indexOf("/ledger/2"),
					read.indexOf("malformed-request"));
			assertTrue(
					positions.get(0) > 0 && positions.get(0) < positions.get(1) && positions.get(1) < positions.get(2),
					read);
		}
	}

	@Test
	public void deadlinesAndCancellationReachTheBackendServer() throws Exception {
		int before = cancelled();
		HttpResponse<String> response = this.fleet.send(0,
				Fleet.Call.get("/ledger/x?answer=late").withKeyOf("org-1").withHeader("Deadline-Millis", "300"));
		assertEquals(response.statusCode(), 504, response.body());
		Await.until("the backend server sees the deadline", () -> cancelled() == before + 1);
		try (RawCaller caller = new RawCaller(this.fleet.callerAddress(0))) {
			String operation = UUID.randomUUID().toString();
			caller.write(request("/ledger/gone?answer=late").replace("Host: x", "Idempotency-Key: " + operation));
			Await.until("the request runs", () -> this.fleet.runs(operation) == 1);
		}
		Await.until("the backend server sees the cancellation", () -> cancelled() == before + 2);
		assertTrue(this.fleet.backendServers()
			.stream()
			.map((server) -> server.lastHeaders().get("Deadline-Millis", "0"))
			.anyMatch((millis) -> Integer.parseInt(millis) > 0));
	}

	@Test
	public void unresponsivePooledConnectionsLoseNoResponseAndRunNoOperationTwice() throws Exception {
		IntStream.range(0, 12).parallel().forEach((each) -> {
			try {
				get("informed");
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
		IntStream.range(0, 3).forEach((index) -> this.fleet.backendProxy(index).discardOnOpenConnections());
		HttpResponse<String> response = this.fleet.send(0,
				Fleet.Call.get("/ledger/silent").withKeyOf("org-1").withHeader("Deadline-Millis", "5000"));
		assertEquals(response.statusCode(), 200, response.body());
		IntStream.range(0, 3).forEach((index) -> this.fleet.backendProxy(index).discardOnOpenConnections());
		String operation = this.fleet.operationPrefix(0, 0) + UUID.randomUUID();
		Fleet.Call call = Fleet.Call.post("/ledger/dues", operation)
			.withKeyOf("org-1")
			.withHeader("Deadline-Millis", "2000");
		HttpResponse<String> first = this.fleet.send(0, call);
		HttpResponse<String> repeated = this.fleet.send(0, call);
		assertTrue(this.fleet.runs(operation) <= 1);
		assertEquals(first.statusCode() == 200, this.fleet.runs(operation) == 1, first.body() + repeated.body());
		assertFalse(first.headers().firstValue("Request-Outcome").orElse("").equals("not-run"));
	}

	@DataProvider
	public Object[][] badInput() {
		String large = "x".repeat(20_000);
		return new Object[][] { { "NONSENSE\r\n\r\n", "400" }, { "GET /" + large + " HTTP/1.1\r\n\r\n", "413" },
				{ "GET /open HTTP/1.1\r\nHost: x\r\nX-Large: " + large + "\r\n\r\n", "413" },
				{ post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", "400" },
				{ post("Content-Length: 5\r\nContent-Length: 6\r\n") + "12345", "400" },
				{ post("Content-Length: -1\r\n"), "400" }, { post("Content-Length: 99999999999\r\n"), "413" },
				{ post("Transfer-Encoding: chunked\r\n") + "nonsense\r\n", "400" },
				{ post("Bad Header : x\r\n") + "\r\n", "400" }, };
	}

	@Test(dataProvider = "badInput")
	public void badInputIsRefusedAndTheConnectionClosed(String input, String status) throws Exception {
		try (RawCaller caller = new RawCaller(this.fleet.callerAddress(0))) {
			caller.write(input);
			String read = caller.readAll();
			assertTrue(read.startsWith("HTTP/1.1 " + status + " "), read);
			assertEquals(read.split("HTTP/1.1").length, 2, read);
		}
		assertEquals(this.fleet.send(0, Fleet.Call.get("/ledger/after").withKeyOf("org-1")).statusCode(), 200);
	}

	@Test
	public void aBodyLargerThanTheMaximumIsRefused() throws Exception {
		Fleet.Call call = new Fleet.Call("POST", "/ledger/dues", List.of(), "x".repeat(2_000_000)).withKeyOf("org-1");
		try (RawCaller caller = new RawCaller(this.fleet.callerAddress(0))) {
			caller.write(post("Content-Length: " + call.body().length() + "\r\n"));
			assertTrue(caller.readAll().startsWith("HTTP/1.1 413 "));
		}
	}

	@DataProvider
	public Object[][] misplacedKeys() {
		return new Object[][] { { "/ledger/x?key=" + KEY, "" }, { "/ledger/" + KEY + "/x", "" },
				{ "/ledger/x?key=org%2D1-1%2Esecret-of-org-1", "" }, { "/open/x?key=" + KEY, "" },
				{ "/open/x", "X-Api-Key: " + KEY + "\r\n" }, { "/ledger/x", "Cookie: a=b; key=" + KEY + "\r\n" },
				{ "/ledger/x", "Proxy-Authorization: Bearer " + KEY + "\r\n" } };
	}

	@Test(dataProvider = "misplacedKeys")
	public void aMisplacedKeyIsNeitherAcceptedNorForwarded(String path, String header) throws Exception {
		try (RawCaller caller = new RawCaller(this.fleet.callerAddress(0))) {
			caller.write("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + header + "\r\n");
			String read = caller.readAll();
			assertTrue(read.startsWith("HTTP/1.1 400 ") && read.contains("key-misplaced"), read);
		}
	}

	@Test
	public void callerHeadersAreNeverTakenForThoseOfTheEntryHost() throws Exception {
		String response = rawResponse("masticlane-organisation: org-3\r\nMasticlane-Organisation: org-4\r\n"
				+ "Connection: close, Masticlane-Organisation\r\nAuthorization: Bearer " + KEY + "\r\n");
		assertTrue(response.contains(" org-1 /ledger/x"), response);
		this.fleet.backendServers().forEach((server) -> {
			assertFalse(server.headerNames().contains("authorization"));
			assertTrue(server.lastHeaders().getAll("Masticlane-Organisation").size() <= 1);
		});
	}

	@Test
	public void duplicateKeysAreRefusedAndAFoldedKeyIsOneKeyOrNone() throws Exception {
		String authorization = "Authorization: Bearer " + KEY + "\r\n";
		assertTrue(rawResponse(authorization + authorization).startsWith("HTTP/1.1 403 "));
		assertTrue(rawResponse(authorization + "authorization: Bearer " + Fleet.key("org-2") + "\r\n")
			.startsWith("HTTP/1.1 403 "));
		String folded = rawResponse("Authorization: Bearer\r\n " + KEY + "\r\n");
		assertTrue(folded.startsWith("HTTP/1.1 4") || folded.contains(" org-1 /ledger/x"), folded);
		assertTrue(rawResponse("Authorization: Bearer " + KEY + "\r\n x\r\n").startsWith("HTTP/1.1 4"));
		assertTrue(rawResponse("Authorization: Basic " + KEY + "\r\n").startsWith("HTTP/1.1 403 "));
	}

	private String rawResponse(String headers) throws IOException {
		try (RawCaller caller = new RawCaller(this.fleet.callerAddress(0))) {
			caller.write("GET /ledger/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n");
			return caller.readAll();
		}
	}

	private HttpResponse<String> get(String behaviour) throws IOException, InterruptedException {
		return this.fleet.send(0, Fleet.Call.get("/ledger/x?answer=" + behaviour).withKeyOf("org-1"));
	}

	private static String request(String path) {
		return "GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + KEY + "\r\n\r\n";
	}

	private static String post(String headers) {
		return "POST /ledger/dues HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nAuthorization: Bearer " + KEY + "\r\n"
				+ headers + "\r\n";
	}

	private int cancelled() {
		return this.fleet.backendServers().stream().mapToInt(BackendStandIn::cancelled).sum();
	}

}
