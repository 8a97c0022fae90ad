package io.masticlane.caller;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.UUID;
import java.util.function.UnaryOperator;

import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Responses that a backend server sends a second time, with one entry host and one
 * backend server.
 */
public class RepeatedResponseTests {

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

	@Test
	public void aCopiedSuccessThatNamesNoRequestIsNeverTakenForTheNextRequest() throws Exception {
		assertEquals(get("/ledger/x?answer=repeated").statusCode(), 200);
		HttpResponse<String> next = get("/ledger/next");
		assertTrue(next.body().endsWith(" /ledger/next\n"), next.body());
	}

	@Test
	public void aCopiedSuccessThatNamesNoRequestIsNeverTakenForAnOperation() throws Exception {
		assertEquals(get("/ledger/x?answer=repeated").statusCode(), 200);
		HttpResponse<String> operation = post(UUID.randomUUID().toString());
		assertNotEquals(operation.statusCode(), 200, operation.body());
		assertTrue(operation.body().contains("\"outcome\":\"unknown\""), operation.body());
	}

	@Test
	public void aCopiedRefusalThatNamesNoRequestNeverRepeatsAnOperationThatRan() throws Exception {
		get("/ledger/x?answer=refused_before");
		String key = UUID.randomUUID().toString();
		HttpResponse<String> operation = post(key);
		assertEquals(this.fleet.runs(key), 1, operation.body());
		assertTrue(operation.body().contains("\"outcome\":\"unknown\""), operation.body());
	}

	@Test
	public void theReportOfAResponseToAnotherRequestIsDropped() throws Exception {
		get("/ledger/x?answer=crossed");
		assertEquals(get("/ledger/next").statusCode(), 200);
	}

	private HttpResponse<String> get(String path) throws IOException, InterruptedException {
		return this.fleet.send(0, Fleet.Call.get(path).withKeyOf("org-1").withHeader("Deadline-Millis", "1500"));
	}

	private HttpResponse<String> post(String key) throws IOException, InterruptedException {
		return this.fleet.send(0,
				Fleet.Call.post("/ledger/dues", key).withKeyOf("org-1").withHeader("Deadline-Millis", "1500"));
	}

}
