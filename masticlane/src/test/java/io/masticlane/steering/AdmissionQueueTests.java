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
	public void createQueue() {
		this.admitted.clear();
		this.refused.clear();
		this.tokens.available = 0;
		this.queue = new AdmissionQueue(this.tokens, (request, now) -> this.admitted.add(request), this.refused::add);
	}

	@Test
	public void requestsWithoutTokensAreAdmittedInOrderWhenTokensArrive() {
		List<InFlightRequest> requests = IntStream.range(0, 3).mapToObj((index) -> submit(0)).toList();
		this.tokens.available = 2;
		this.queue.tick(30 * MILLI);
		assertEquals(this.admitted, requests.subList(0, 2));
		assertEquals(this.refused, List.of());
	}

	@Test
	public void aRequestIsRefusedWhenNoTokenArrivesInTime() {
		InFlightRequest request = submit(0);
		this.queue.tick(149 * MILLI);
		assertEquals(this.refused, List.of());
		this.queue.tick(150 * MILLI);
		assertEquals(this.refused, List.of(request));
	}

	@Test
	public void aNewRequestDoesNotOvertakeAWaitingOne() {
		InFlightRequest first = submit(0);
		this.tokens.available = 1;
		submit(MILLI);
		this.queue.tick(2 * MILLI);
		assertEquals(this.admitted, List.of(first));
	}

	@Test
	public void aRequestThatEndedWhileWaitingAcquiresNoToken() {
		submit(0).end();
		this.tokens.available = 1;
		this.queue.tick(MILLI);
		assertEquals(this.tokens.available, 1);
		assertEquals(this.admitted, List.of());
	}

	@Test
	public void requestsBeyondTheQueueCapacityAreRefusedAtOnce() {
		IntStream.range(0, 300).forEach((index) -> submit(0));
		assertEquals(this.refused.size(), 300 - 256);
	}

	private InFlightRequest submit(long now) {
		RoutingTable.Match match = new RoutingTable.Match(Service.of("ledger", ROUTE), ROUTE);
		InFlightRequest request = new InFlightRequest(
				new IncomingRequest("org-1", match, Operation.NONE, 1_000 * MILLI, null));
		this.queue.submit(request, now);
		return request;
	}

	private static final class Tokens implements Limits {

		private int available;

		@Override
		public void configure(Configuration configuration, long revision, long now) {
		}

		@Override
		public boolean tryAcquire(String limit, double tokens, long now) {
			boolean acquired = this.available > 0;
			this.available -= acquired ? 1 : 0;
			return acquired;
		}

		@Override
		public long nanosUntilAvailable(String limit, double tokens, long now) {
			return 0;
		}

	}

}
