package io.masticlane.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.fixture.Fleet;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.AttemptResult;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class SlotBalancerTests {

	private static final int SLOTS = 7;

	private static final Configuration CONFIGURATION = Fleet.defaultConfiguration(7, 12, SLOTS);

	private static final List<Balancer.Candidate> REGIONS = CONFIGURATION.regions()
		.stream()
		.map((region) -> new Balancer.Candidate(region.name(), 0))
		.toList();

	@Test
	public void everySlotIsAssignedToExactlyOneEntryHost() {
		RoutingTable table = RoutingTable.of(1, CONFIGURATION);
		CONFIGURATION.backendServers().forEach((server) -> {
			List<Integer> owned = CONFIGURATION.entryHosts()
				.stream()
				.flatMap((host) -> IntStream.of(SlotShares.ownedSlots(table, server, host.name())).boxed())
				.sorted()
				.toList();
			assertEquals(owned, IntStream.range(0, SLOTS).boxed().toList());
		});
	}

	@Test
	public void sevenEntryHostsTogetherNeverExceedTheSlotsInTheirShares() {
		for (long seed = 1; seed <= 300; seed++) {
			runRandomSchedule(seed);
		}
	}

	@Test
	public void aLeavingBackendServerIsNotChosen() {
		SlotBalancer balancer = balancer("entry-1", CONFIGURATION);
		balancer.reportReceived("ledger-1", new BackendReport(0, SLOTS, true), 0);
		Configuration leaving = CONFIGURATION.withBackendServers(CONFIGURATION.backendServers()
			.stream()
			.map((server) -> server.withLeaving(server.name().equals("ledger-4")))
			.toList());
		balancer.configure(RoutingTable.of(2, leaving), 0);
		List<String> chosen = fill(balancer, Balancer.Overflow.ANY, 0);
		assertTrue(chosen.contains("ledger-7"), chosen.toString());
		assertTrue(!chosen.contains("ledger-1") && !chosen.contains("ledger-4"), chosen.toString());
	}

	@Test
	public void aLeavingReportIsAnnouncedByItsReceiverAndNotRelayedByOthers() {
		SlotBalancer first = balancer("entry-1", CONFIGURATION);
		first.reportReceived("ledger-1", new BackendReport(0, SLOTS, true), 0);
		assertEquals(first.leavingServers(1), List.of("ledger-1"));
		SlotBalancer second = balancer("entry-4", CONFIGURATION);
		second.markLeaving("ledger-1", 0);
		assertEquals(second.leavingServers(1), List.of());
		assertFalse(fill(second, Balancer.Overflow.ANY, 1).contains("ledger-1"));
	}

	@Test
	public void aNewBackendServerGetsItsSlotsGradually() {
		Configuration withoutFirst = CONFIGURATION.withBackendServers(CONFIGURATION.backendServers().subList(1, 12));
		List<SlotBalancer> balancers = CONFIGURATION.entryHosts().stream().map((host) -> {
			SlotBalancer balancer = balancer(host.name(), withoutFirst);
			balancer.configure(RoutingTable.of(2, CONFIGURATION), 0);
			return balancer;
		}).toList();
		assertEquals(acquired(balancers, "ledger-1", TimeUnit.SECONDS.toNanos(1)), 1);
		assertEquals(acquired(balancers, "ledger-1", TimeUnit.SECONDS.toNanos(5)), 3);
		assertEquals(acquired(balancers, "ledger-1", TimeUnit.SECONDS.toNanos(11)), SLOTS);
	}

	@Test
	public void aReportLowersTheUsableSlotsAndNeverRaisesThem() {
		SlotBalancer balancer = balancer("entry-1", CONFIGURATION);
		int ownSlots = fill(balancer("entry-1", CONFIGURATION), Balancer.Overflow.NONE, 0).size();
		CONFIGURATION.backendServers()
			.forEach((server) -> balancer.reportReceived(server.name(), new BackendReport(0, 1_000, false), 0));
		assertEquals(fill(balancer, Balancer.Overflow.NONE, 0).size(), ownSlots);
		SlotBalancer lowered = balancer("entry-1", CONFIGURATION);
		CONFIGURATION.backendServers()
			.forEach((server) -> lowered.reportReceived(server.name(), new BackendReport(0, 1, false), 0));
		assertTrue(fill(lowered, Balancer.Overflow.NONE, 0).size() < ownSlots);
	}

	private static void runRandomSchedule(long seed) {
		Random random = new Random(seed);
		List<SlotBalancer> balancers = CONFIGURATION.entryHosts()
			.stream()
			.map((host) -> balancer(host.name(), CONFIGURATION))
			.toList();
		Map<String, Integer> running = new HashMap<>();
		List<Acquired> attempts = new ArrayList<>();
		long now = 0;
		for (int step = 0; step < 500; step++) {
			now += random.nextInt(5_000_000);
			if (random.nextInt(3) > 0) {
				SlotBalancer balancer = balancers.get(random.nextInt(balancers.size()));
				choose(balancer, Balancer.Overflow.NONE, now).ifPresent((choice) -> {
					attempts.add(new Acquired(balancer, choice.server()));
					running.merge(choice.server().name(), 1, Integer::sum);
				});
			}
			else if (!attempts.isEmpty()) {
				Acquired ended = attempts.remove(random.nextInt(attempts.size()));
				AttemptResult result = AttemptResult.values()[random.nextInt(AttemptResult.values().length)];
				ended.balancer.release(ended.server, result, now);
				running.merge(ended.server.name(), -1, Integer::sum);
			}
			assertTrue(running.values().stream().allMatch((count) -> count >= 0 && count <= SLOTS),
					"seed " + seed + ", step " + step + ": " + running);
		}
	}

	private static int acquired(List<SlotBalancer> balancers, String server, long now) {
		List<Acquired> acquired = new ArrayList<>();
		balancers.forEach((balancer) -> {
			Optional<Balancer.Choice> choice = choose(balancer, Balancer.Overflow.NONE, now);
			while (choice.isPresent()) {
				acquired.add(new Acquired(balancer, choice.get().server()));
				choice = choose(balancer, Balancer.Overflow.NONE, now);
			}
		});
		acquired.forEach((each) -> each.balancer.release(each.server, AttemptResult.ANSWERED, now));
		return (int) acquired.stream().filter((each) -> each.server.name().equals(server)).count();
	}

	private static List<String> fill(SlotBalancer balancer, Balancer.Overflow overflow, long now) {
		List<String> chosen = new ArrayList<>();
		Optional<Balancer.Choice> choice = choose(balancer, overflow, now);
		while (choice.isPresent()) {
			chosen.add(choice.get().server().name());
			choice = choose(balancer, overflow, now);
		}
		return chosen;
	}

	private static Optional<Balancer.Choice> choose(SlotBalancer balancer, Balancer.Overflow overflow, long now) {
		return balancer.choose(new Balancer.Demand("ledger", Set.of(), overflow, REGIONS, 0, (region) -> true), now);
	}

	private static SlotBalancer balancer(String host, Configuration configuration) {
		SlotBalancer balancer = new SlotBalancer(host);
		balancer.configure(RoutingTable.of(1, configuration), 0);
		return balancer;
	}

	private record Acquired(SlotBalancer balancer, BackendServer server) {
	}

}
