package io.masticlane.placement;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.registry.RegisteredServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ServerStateTests {

	private ServerState server;

	@BeforeMethod
	public void createServer() {
		this.server = new ServerState(entry(1, 0), "west", 0);
	}

	@Test
	public void theReportedLoadIncludesRequestsOfOtherGateways() {
		IntStream.range(0, 3).forEach((request) -> this.server.recordRequestSent(0));
		this.server.recordReportedLoad(9, 0);
		this.server.recordRequestSent(1);
		assertEquals(this.server.load(2), 10);
		assertEquals(this.server.load(TimeUnit.SECONDS.toNanos(10)), 4);
	}

	@Test
	public void anUnreachableServerIsEjectedAndTriedAgain() {
		this.server.recordUnreachable(0);
		assertTrue(this.server.isEjected(1));
		assertFalse(this.server.isEjected(TimeUnit.SECONDS.toNanos(2)));
	}

	@Test
	public void anAnnouncedDepartureHoldsUntilTheServerStartsAgain() {
		assertTrue(this.server.recordLeaving(0));
		assertFalse(this.server.recordLeaving(1));
		this.server.entry(entry(1, 0), TimeUnit.SECONDS.toNanos(5));
		assertTrue(this.server.isLeaving(TimeUnit.SECONDS.toNanos(5)));
		this.server.entry(entry(2, 0), TimeUnit.SECONDS.toNanos(6));
		assertFalse(this.server.isLeaving(TimeUnit.SECONDS.toNanos(6)));
	}

	@Test
	public void aMistakenAnnouncementDoesNotTakeTheServerOutForGood() {
		this.server.recordLeaving(0);
		this.server.recordPause(Long.MAX_VALUE, 0);
		assertTrue(this.server.pauseMillis(TimeUnit.MINUTES.toNanos(4)) > 0);
		assertEquals(this.server.pauseMillis(TimeUnit.MINUTES.toNanos(5)), 0);
		assertTrue(this.server.isLeaving(TimeUnit.MINUTES.toNanos(9)));
		assertFalse(this.server.isLeaving(TimeUnit.MINUTES.toNanos(10)));
	}

	@Test
	public void aShorterPauseDoesNotEndALongerOne() {
		assertTrue(this.server.recordPause(2_000, 0));
		assertFalse(this.server.recordPause(100, TimeUnit.SECONDS.toNanos(1)));
		assertTrue(this.server.pauseMillis(TimeUnit.MILLISECONDS.toNanos(1_999)) > 0);
		assertEquals(this.server.pauseMillis(TimeUnit.MILLISECONDS.toNanos(2_000)), 0);
	}

	@Test
	public void aSingleLostResponseDoesNotEjectTheServer() {
		this.server.recordFailure(0);
		assertFalse(this.server.isEjected(1));
	}

	@Test
	public void aServerThatFailsHalfOfItsRequestsIsEjected() {
		IntStream.range(0, 20).forEach((request) -> this.server.recordResponse(5, request % 2 == 0, 0, 0));
		assertTrue(this.server.isEjected(1));
	}

	@Test
	public void aSlowServerThatRespondsToOtherRequestsIsNotEjected() {
		this.server.recordResponse(5, true, 5, 10);
		IntStream.range(0, 5).forEach((request) -> this.server.recordTimeout(1, 20));
		assertFalse(this.server.isEjected(21));
		IntStream.range(0, 3).forEach((request) -> this.server.recordTimeout(11, 20));
		assertTrue(this.server.isEjected(21));
	}

	@Test
	public void aServerThatWasUnreachableMayBeColdUntilALaterEntry() {
		this.server.recordUnreachable(0);
		assertTrue(this.server.isCold(TimeUnit.SECONDS.toNanos(9)));
		this.server.entry(entry(1, 0), TimeUnit.SECONDS.toNanos(1));
		assertTrue(this.server.isCold(TimeUnit.SECONDS.toNanos(1)));
		this.server.entry(entry(1, 0), TimeUnit.SECONDS.toNanos(2));
		assertFalse(this.server.isCold(TimeUnit.SECONDS.toNanos(2)));
		this.server.recordUnreachable(TimeUnit.SECONDS.toNanos(3));
		this.server.entry(entry(2, 0), TimeUnit.SECONDS.toNanos(3));
		assertFalse(this.server.isCold(TimeUnit.SECONDS.toNanos(3)));
	}

	@Test
	public void aServerThatHasJustRespondedIsCongestedAndNotLost() {
		this.server.recordResponse(5, true, 0, TimeUnit.MILLISECONDS.toNanos(100));
		this.server.recordUnreachable(TimeUnit.MILLISECONDS.toNanos(200));
		assertFalse(this.server.isEjected(TimeUnit.MILLISECONDS.toNanos(201)));
		assertFalse(this.server.isCold(TimeUnit.MILLISECONDS.toNanos(201)));
		this.server.recordUnreachable(TimeUnit.MILLISECONDS.toNanos(900));
		assertTrue(this.server.isEjected(TimeUnit.MILLISECONDS.toNanos(901)));
		assertTrue(this.server.isCold(TimeUnit.MILLISECONDS.toNanos(901)));
	}

	@Test
	public void aResponseToAnEarlierRequestShowsThatTheServerWasRunning() {
		this.server.recordUnreachable(20);
		this.server.recordResponse(5, true, 25, 30);
		assertTrue(this.server.isCold(31));
		this.server.recordResponse(5, true, 10, 40);
		assertFalse(this.server.isCold(41));
		assertFalse(this.server.isEjected(41));
	}

	@Test
	public void aServerWhoseAddressWasReassignedIsLostEvenIfItHasJustResponded() {
		this.server.recordResponse(5, true, 0, 10);
		this.server.recordLost(20);
		assertTrue(this.server.isEjected(21));
		assertTrue(this.server.isCold(21));
	}

	@Test
	public void aRestartedServerHoldsNoWarmObject() {
		this.server.recordResponse(5, true, 0, 0);
		assertTrue(this.server.hasServed(5, 10, 1));
		this.server.entry(entry(2, 1_000), 1);
		assertFalse(this.server.hasServed(5, 10, 1));
		assertTrue(this.server.isCold(2));
		assertFalse(this.server.isCold(TimeUnit.SECONDS.toNanos(2)));
	}

	/**
	 * Guards against a wave of requests from all gateways when a pause ends.
	 */
	@Test
	public void afterAPauseTheRequestsInFlightAreLimitedAndDoubleWithEachResponse() {
		long returnedAt = TimeUnit.SECONDS.toNanos(2);
		this.server.recordRequestSent(0);
		this.server.recordPause(2_000, 0);
		this.server.recordResponse(1, true, 0, 1);
		this.server.recordRequestEnded();
		assertFalse(this.server.isReturnLimitReached(returnedAt));
		this.server.recordRequestSent(returnedAt);
		assertTrue(this.server.isReturnLimitReached(returnedAt));
		this.server.recordRequestEnded();
		this.server.recordResponse(1, true, returnedAt, returnedAt + 1);
		this.server.recordRequestSent(returnedAt + 1);
		assertFalse(this.server.isReturnLimitReached(returnedAt + 1));
		this.server.recordRequestSent(returnedAt + 1);
		assertTrue(this.server.isReturnLimitReached(returnedAt + 1));
		assertFalse(this.server.isReturnLimitReached(TimeUnit.SECONDS.toNanos(13)));
	}

	private static RegisteredServer entry(long startedAt, long coldMillis) {
		return new RegisteredServer("i-1", "s", InetSocketAddress.createUnresolved("10.0.0.1", 80), "a", 4, false,
				coldMillis, startedAt, 1);
	}

}
