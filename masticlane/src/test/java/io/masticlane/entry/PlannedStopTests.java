package io.masticlane.entry;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.demo.BackendStandIn;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.CachingCaller;
import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class PlannedStopTests {

	private static final long MAXIMUM_SECONDS_UNTIL_NO_NEW_WORK = 3;

	private Fleet fleet;

	private List<CachingCaller> callers;

	@BeforeMethod
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(7, 12, 7, 20, UnaryOperator.identity());
		List<String> seeds = IntStream.range(1, 7).mapToObj(this.fleet::callerAddress).toList();
		this.callers = IntStream.range(0, 21)
			.mapToObj((number) -> new CachingCaller(seeds, Fleet.ORGANISATIONS.get(number % 8),
					(addresses) -> addresses.stream().sorted().toList().get(number % addresses.size())))
			.toList();
		awaitResponses(20);
	}

	@AfterMethod(alwaysRun = true)
	public void stopFleet() {
		this.fleet.close();
	}

	@Test
	public void aPlannedStopOfAnEntryHostInterruptsNoRequest() {
		String stopped = this.fleet.callerAddress(0);
		assertTrue(this.callers.stream().anyMatch((caller) -> caller.host().equals(stopped)),
				"no caller uses the host");
		long startedAt = System.nanoTime();
		this.fleet.entry(0).terminate();
		this.fleet.entry(0).awaitEnd();
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
		awaitResponses(20);
		finishCallers();
		System.out.println("drain of an entry host: " + millis + " ms");
	}

	@Test
	public void aBackendServerConfiguredAsLeavingReceivesNoNewWorkAfterThreeSeconds() {
		Configuration current = this.fleet.configuration();
		this.fleet.apply(current.withBackendServers(current.backendServers()
			.stream()
			.map((server) -> server.withLeaving(server.name().equals("ledger-1")))
			.toList()));
		assertNoNewWork(this.fleet.backendServer(0));
	}

	@Test
	public void aBackendServerThatReportsItIsLeavingReceivesNoNewWorkAfterThreeSeconds() {
		this.fleet.backendServer(0).leaving(true);
		assertNoNewWork(this.fleet.backendServer(0));
	}

	private void assertNoNewWork(BackendStandIn server) {
		long startedAt = System.nanoTime();
		Await.until("the time limit for new work has passed",
				() -> System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(MAXIMUM_SECONDS_UNTIL_NO_NEW_WORK));
		int startedRequests = server.started();
		awaitResponses(50);
		assertEquals(server.started(), startedRequests, "new work after " + MAXIMUM_SECONDS_UNTIL_NO_NEW_WORK + " s");
		assertEquals(server.running(), 0);
		finishCallers();
	}

	private void awaitResponses(int more) {
		List<Integer> before = this.callers.stream().map(CachingCaller::succeeded).toList();
		Await.until("every caller has " + more + " more responses", () -> IntStream.range(0, this.callers.size())
			.allMatch((index) -> this.callers.get(index).succeeded() >= before.get(index) + more));
	}

	private void finishCallers() {
		this.callers.forEach(CachingCaller::close);
		assertEquals(this.callers.stream().flatMap((caller) -> caller.failures().stream()).toList(), List.of());
	}

}
