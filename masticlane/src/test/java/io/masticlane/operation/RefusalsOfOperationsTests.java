package io.masticlane.operation;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.Organisation;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Checks the {@code Request-Outcome} of refusals against the number of runs that a
 * backend server with one slot counts.
 */
public class RefusalsOfOperationsTests {

	private static final int MAXIMUM_REQUESTS = 100;

	private Fleet fleet;

	@BeforeClass
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(2, 1, 1, 5, RefusalsOfOperationsTests::withSmallRate);
	}

	@AfterClass(alwaysRun = true)
	public void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	public void anOverloadRefusalSaysNotRunAtEveryEntryHostAndTheRetryRuns() throws Exception {
		for (int entryHost = 0; entryHost < 2; entryHost++) {
			String operation = operation();
			CompletableFuture<HttpResponse<String>> running = occupySlot();
			HttpResponse<String> refused = this.fleet.send(entryHost,
					Fleet.Call.post("/ledger/dues", operation).withKeyOf("org-1").withHeader("Deadline-Millis", "200"));
			assertEquals(outcome(refused), "not-run", refused.body());
			assertEquals(this.fleet.runs(operation), 0);
			assertEquals(running.join().statusCode(), 200);
			Fleet.Call retry = Fleet.Call.post("/ledger/dues", operation).withKeyOf("org-1");
			Await.until("the retry has status 200", () -> this.fleet.send(1, retry).statusCode() == 200);
			assertEquals(this.fleet.runs(operation), 1);
		}
	}

	@Test
	public void aRateRefusalSaysNotRunOnlyAtTheOwnerAndNeverAfterTheOperationRan() throws Exception {
		String completed = operation();
		Await.until("an operation ran", () -> post(0, completed).statusCode() == 200);
		assertEquals(outcome(refusedByRate(0, null)), "not-run");
		assertEquals(outcome(refusedByRate(1, null)), "unknown");
		HttpResponse<String> retried = post(0, completed);
		assertTrue(retried.statusCode() == 200 || outcome(retried).equals("unknown"), retried.body());
		assertEquals(outcome(refusedByRate(0, completed)), "unknown");
		assertEquals(this.fleet.runs(completed), 1);
	}

	@Test
	public void aRefusalOfAnOperationThatRanNeverSaysNotRun() throws Exception {
		String operation = operation();
		Fleet.Call call = Fleet.Call.post("/ledger/dues", operation);
		assertEquals(this.fleet.send(0, call.withKeyOf("org-1")).statusCode(), 200);
		assertEquals(outcome(this.fleet.send(0, call)), "unknown");
		assertEquals(outcome(this.fleet.send(0, call.withHeader("Authorization", "Bearer org-1-1.wrong"))), "unknown");
		assertEquals(outcome(this.fleet.send(0, Fleet.Call.post("/nowhere", operation))), "unknown");
	}

	private CompletableFuture<HttpResponse<String>> occupySlot() {
		String operation = operation();
		CompletableFuture<HttpResponse<String>> running = CompletableFuture.supplyAsync(() -> {
			try {
				return this.fleet.send(0, Fleet.Call.post("/ledger/dues?answer=late", operation).withKeyOf("org-2"));
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
		Await.until("the slot is occupied", () -> this.fleet.runs(operation) == 1);
		return running;
	}

	private HttpResponse<String> refusedByRate(int entryHost, String operation) throws Exception {
		HttpResponse<String> response = null;
		for (int request = 0; request < MAXIMUM_REQUESTS
				&& (response == null || response.statusCode() != 429); request++) {
			response = post(entryHost, (operation != null) ? operation : operation());
		}
		assertEquals(response.statusCode(), 429, response.body());
		return response;
	}

	private HttpResponse<String> post(int entryHost, String operation) throws IOException, InterruptedException {
		return this.fleet.send(entryHost, Fleet.Call.post("/ledger/dues", operation).withKeyOf("org-8"));
	}

	private String operation() {
		return this.fleet.operationPrefix(0, 1) + UUID.randomUUID();
	}

	private static String outcome(HttpResponse<String> response) {
		return response.headers().firstValue("Request-Outcome").orElse("none");
	}

	private static Configuration withSmallRate(Configuration configuration) {
		return configuration.withOrganisations(configuration.organisations()
			.stream()
			.map((each) -> each.name().equals("org-8") ? new Organisation(each.name(), 2, 4, each.keys()) : each)
			.toList());
	}

}
