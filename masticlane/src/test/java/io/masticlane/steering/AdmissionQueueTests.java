package io.masticlane.steering;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;
import io.masticlane.limit.Limits;
import io.masticlane.operation.Operation;
import io.masticlane.route.RoutingTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class AdmissionQueueTests {

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final Route ROUTE = Route.idempotent("GET", "/ledger");

	private final List<InFlightRequest> admitted = new ArrayList<>();

	private final List<InFlightRequest> refused = new ArrayList<>();

	private final Tokens tokens = new Tokens();

	private AdmissionQueue queue;

	@BeforeMethod
	public void emptyQueue() {
		this.admitted.clear();
		this.refused.clear();
		this.tokens.left = 0;
		this.queue = new AdmissionQueue(this.tokens, (flight, now) -> this.admitted.add(flight), this.refused::add);
	}

	@Test
	public void requestsThatFindNoTokenAreAdmittedInOrderWhenTokensCome() {
		List<InFlightRequest> flights = IntStream.range(0, 3).mapToObj((index) -> arrive(0)).toList();
		this.tokens.left = 2;
		this.queue.tick(30 * MILLI);
		assertEquals(this.admitted, flights.subList(0, 2));
		assertEquals(this.refused, List.of());
	}

	@Test
	public void aRequestIsRefusedWhenNoTokenCameInTime() {
		InFlightRequest flight = arrive(0);
		this.queue.tick(149 * MILLI);
		assertEquals(this.refused, List.of());
		this.queue.tick(150 * MILLI);
		assertEquals(this.refused, List.of(flight));
	}

	@Test
	public void aNewRequestDoesNotOvertakeOneThatWaits() {
		InFlightRequest first = arrive(0);
		this.tokens.left = 1;
		arrive(MILLI);
		this.queue.tick(2 * MILLI);
		assertEquals(this.admitted, List.of(first));
	}

	@Test
	public void aRequestThatEndedWhileItWaitedTakesNoToken() {
		arrive(0).end();
		this.tokens.left = 1;
		this.queue.tick(MILLI);
		assertEquals(this.tokens.left, 1);
		assertEquals(this.admitted, List.of());
	}

	@Test
	public void requestsBeyondTheBoundAreRefusedAtOnce() {
		IntStream.range(0, 300).forEach((index) -> arrive(0));
		assertEquals(this.refused.size(), 300 - 256);
	}

	private InFlightRequest arrive(long now) {
		RoutingTable.Match match = new RoutingTable.Match(Service.of("ledger", ROUTE), ROUTE);
		InFlightRequest flight = new InFlightRequest(
				new IncomingRequest("org-1", match, Operation.NONE, 1_000 * MILLI, null));
		this.queue.submit(flight, now);
		return flight;
	}

	private static final class Tokens implements Limits {

		private int left;

		@Override
		public void configure(Configuration configuration, long revision, long now) {
		}

		@Override
		public boolean tryAcquire(String limit, double tokens, long now) {
			boolean taken = this.left > 0;
			this.left -= taken ? 1 : 0;
			return taken;
		}

		@Override
		public long nanosUntilAvailable(String limit, double tokens, long now) {
			return 0;
		}

	}

}
