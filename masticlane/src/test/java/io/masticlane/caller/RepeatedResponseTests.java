package io.masticlane.caller;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.function.UnaryOperator;

import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

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
	public void theReportOfAResponseToAnotherRequestIsDropped() throws Exception {
		get("/ledger/x?answer=crossed");
		assertEquals(get("/ledger/next").statusCode(), 200);
	}

	private HttpResponse<String> get(String path) throws IOException, InterruptedException {
		return this.fleet.send(0, Fleet.Call.get(path).withKeyOf("org-1").withHeader("Deadline-Millis", "1500"));
	}

}
