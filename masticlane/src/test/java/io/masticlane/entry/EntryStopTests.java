package io.masticlane.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import io.masticlane.demo.BackendStandIn;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Planned stops of an entry host whose requests take longer than the stop.
 */
public class EntryStopTests {

	private static final long DRAIN_MILLIS = 6_000;

	/**
	 * The time after which look-ups have expired and the entry host still serves.
	 */
	private static final long LOOK_UPS_EXPIRED_MILLIS = 2_200;

	private Fleet fleet;

	@BeforeMethod
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(1, 1, 7, 5, UnaryOperator.identity(),
				Map.of("drain-millis", Long.toString(DRAIN_MILLIS)));
	}

	@AfterMethod(alwaysRun = true)
	public void stopFleet() {
		this.fleet.close();
	}

	/**
	 * Guards against a request that is accepted late in a stop and cut at its end.
	 */
	@Test
	public void aRequestThatMayOutlastTheStopIsRefusedAtOnceAsNotRunAfterLookUpsExpired() throws Exception {
		String operation = operation();
		terminate();
		long startedAt = System.nanoTime();
		while (millisSince(startedAt) < LOOK_UPS_EXPIRED_MILLIS) {
			assertEquals(getWithin(1_500).statusCode(), 200);
		}
		int started = started();
		assertRefusedAtOnce(Fleet.Call.get("/ledger/x?answer=late"));
		assertRefusedAtOnce(Fleet.Call.post("/ledger/dues?answer=late", operation));
		assertEquals(started(), started);
		assertEquals(getWithin(1_500).statusCode(), 200);
		this.fleet.entry(0).awaitEnd();
	}

	/**
	 * Guards against connections that are cut at the end of a stop while their requests
	 * are in flight.
	 */
	@Test
	public void requestsInFlightAtTheEndOfAStopAreAnsweredAsUnknown() {
		String operation = operation();
		List<CompletableFuture<HttpResponse<String>>> responses = Stream
			.of(Fleet.Call.get("/ledger/x?answer=stalled"), Fleet.Call.post("/ledger/dues?answer=stalled", operation))
			.map((call) -> CompletableFuture.supplyAsync(() -> send(call)))
			.toList();
		Await.until("the requests run", () -> this.fleet.backendServer(0).running() == 2);
		long startedAt = System.nanoTime();
		terminate();
		responses.stream().map(CompletableFuture::join).forEach((response) -> {
			assertEquals(response.statusCode(), 503, response.body());
			assertTrue(response.body().contains("\"shutting-down\""), response.body());
			assertEquals(outcome(response), "unknown");
			assertEquals(response.headers().firstValue("Connection").orElse(""), "close");
		});
		this.fleet.entry(0).awaitEnd();
		assertTrue(millisSince(startedAt) < DRAIN_MILLIS + 3_000, "ended after " + millisSince(startedAt) + " ms");
		assertEquals(this.fleet.runs(operation), 1);
	}

	private void assertRefusedAtOnce(Fleet.Call call) {
		long sentAt = System.nanoTime();
		HttpResponse<String> refused = send(call);
		assertEquals(refused.statusCode(), 503, refused.body());
		assertTrue(millisSince(sentAt) < 900, "refused after " + millisSince(sentAt) + " ms");
		assertTrue(refused.body().contains("\"shutting-down\""), refused.body());
		assertEquals(outcome(refused), "not-run");
		assertEquals(refused.headers().firstValue("Retry-After").orElse(""), "1");
	}

	private void terminate() {
		this.fleet.entry(0).terminate();
		Await.until("the stop has begun", () -> this.fleet.operatorResponse(0, "/status").contains("\"leaving\":true"));
	}

	private HttpResponse<String> getWithin(int millis) {
		return send(Fleet.Call.get("/ledger/x").withHeader("Deadline-Millis", Integer.toString(millis)));
	}

	private HttpResponse<String> send(Fleet.Call call) {
		try {
			return this.fleet.send(0, call.withKeyOf("org-1"));
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private String operation() {
		return this.fleet.operationPrefix(0, 0) + UUID.randomUUID();
	}

	private int started() {
		return this.fleet.backendServers().stream().mapToInt(BackendStandIn::started).sum();
	}

	private static String outcome(HttpResponse<String> response) {
		return response.headers().firstValue("Request-Outcome").orElse("none");
	}

	private static long millisSince(long time) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - time);
	}

}
