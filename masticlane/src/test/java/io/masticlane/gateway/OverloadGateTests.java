package io.masticlane.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import io.masticlane.admission.AdmissionPolicy;
import io.masticlane.event.Event;
import io.masticlane.placement.Placement;
import io.masticlane.placement.PlacementRequest;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.PathRoute;
import io.masticlane.plan.RouteKind;
import io.masticlane.registry.RegisteredServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OverloadGateTests {

	private final long now = System.nanoTime();

	private Placement placement;

	private final List<Event> events = new ArrayList<>();

	private OverloadGate gate;

	@BeforeMethod
	public void start() {
		this.events.clear();
		this.placement = new Placement("east", 1.5, 5);
		this.gate = new OverloadGate(this.placement, new AdmissionPolicy(() -> 0.5), new GatewayMetrics(),
				(event, arguments) -> this.events.add(event));
	}

	/**
	 * Guards against a changed path where the plan has no downloads, and against a
	 * refusal that its caller or operator can't make use of.
	 */
	@Test
	public void fullServersRefuseBulkRequestsFirstWhereThePlanHasDownloadsOnly() {
		addFullServer();
		assertEquals(refusals(0).size() + refusals(1).size(), 0);
		this.gate.enable(true);
		assertEquals(refusals(0).size() + refusals(1).size(), 0);
		this.gate.update(this.now);
		List<Refusal> bulk = refusals(1);
		assertTrue(bulk.size() >= 5, "refused: " + bulk.size());
		assertTrue(refusals(0).size() < bulk.size());
		bulk.forEach((each) -> assertTrue(
				each.reason().equals("overload") && each.retryAfterMillis() >= 150 && each.retryAfterMillis() <= 1_000,
				each.toString()));
		this.gate.update(this.now);
		assertEquals(this.events, List.of(Event.OVERLOAD_CHANGED));
		this.gate.enable(false);
		assertEquals(refusals(1).size(), 0);
	}

	/**
	 * Guards against rejections that make room for nothing more urgent.
	 */
	@Test
	public void aServiceWithOneRouteIsLeftToTheChecksByExpectedTime() {
		addFullServer();
		this.gate.enable(true);
		IntStream.range(0, 20).forEach((tick) -> {
			assertEquals(refusals(1).size(), 0);
			this.gate.update(this.now);
		});
	}

	private void addFullServer() {
		ServerState server = new ServerState(new RegisteredServer("server", "service",
				InetSocketAddress.createUnresolved("10.0.0.1", 80), "east", 8, false, 0, 1, 1), "east", this.now);
		this.placement.add(server);
		server.recordReportedLoad(16, this.now);
	}

	private List<Refusal> refusals(int priority) {
		PathRoute route = new PathRoute("route" + priority, "/", RouteKind.DOWNLOAD, 0, 500, priority, List.of(), 2,
				true, true, Set.of());
		PlacementRequest placed = new PlacementRequest(route, "service", 1, 1, Set.of(), Set.of(), 500, 8, 1);
		RequestClock clock = new RequestClock(System.nanoTime(), Optional::empty);
		clock.limit(3_000, 0);
		AdmittedRequest request = new AdmittedRequest(null, "/", null, route, Optional.empty(), placed,
				new DownloadBody(Optional.empty(), ""), this.now);
		return IntStream.range(0, 10)
			.mapToObj((each) -> this.gate.refusal(request, clock, this.placement.choose(placed, this.now).orElseThrow(),
					this.now))
			.flatMap(Optional::stream)
			.toList();
	}

}
