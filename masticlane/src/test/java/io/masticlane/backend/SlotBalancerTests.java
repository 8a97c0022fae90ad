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

	private static final Configuration CONFIGURATION = Fleet.describe(7, 12, SLOTS);

	private static final List<Balancer.Candidate> REGIONS = CONFIGURATION.regions()
		.stream()
		.map((region) -> new Balancer.Candidate(region.name(), 0))
		.toList();

	@Test
	public void everySlotBelongsToExactlyOneEntryHost() {
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
			runSchedule(seed);
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
	public void whatABackendServerToldItselfIsToldToOthersAndNotToldAgainByThem() {
		SlotBalancer first = balancer("entry-1", CONFIGURATION);
		first.reportReceived("ledger-1", new BackendReport(0, SLOTS, true), 0);
		assertEquals(first.leavingServers(1), List.of("ledger-1"));
		SlotBalancer second = balancer("entry-4", CONFIGURATION);
		second.markLeaving("ledger-1", 0);
		assertEquals(second.leavingServers(1), List.of());
		assertFalse(fill(second, Balancer.Overflow.ANY, 1).contains("ledger-1"));
	}

	@Test
	public void aColdBackendServerGetsItsSlotsLittleByLittle() {
		Configuration without = CONFIGURATION.withBackendServers(CONFIGURATION.backendServers().subList(1, 12));
		List<SlotBalancer> balancers = CONFIGURATION.entryHosts().stream().map((host) -> {
			SlotBalancer balancer = balancer(host.name(), without);
			balancer.configure(RoutingTable.of(2, CONFIGURATION), 0);
			return balancer;
		}).toList();
		assertEquals(taken(balancers, "ledger-1", TimeUnit.SECONDS.toNanos(1)), 1);
		assertEquals(taken(balancers, "ledger-1", TimeUnit.SECONDS.toNanos(5)), 3);
		assertEquals(taken(balancers, "ledger-1", TimeUnit.SECONDS.toNanos(11)), SLOTS);
	}

	@Test
	public void aReportLowersWhatMayBeUsedAndNeverRaisesIt() {
		SlotBalancer balancer = balancer("entry-1", CONFIGURATION);
		int own = fill(balancer("entry-1", CONFIGURATION), Balancer.Overflow.NONE, 0).size();
		CONFIGURATION.backendServers()
			.forEach((server) -> balancer.reportReceived(server.name(), new BackendReport(0, 1_000, false), 0));
		assertEquals(fill(balancer, Balancer.Overflow.NONE, 0).size(), own);
		SlotBalancer lowered = balancer("entry-1", CONFIGURATION);
		CONFIGURATION.backendServers()
			.forEach((server) -> lowered.reportReceived(server.name(), new BackendReport(0, 1, false), 0));
		assertTrue(fill(lowered, Balancer.Overflow.NONE, 0).size() < own);
	}

	private static void runSchedule(long seed) {
		Random random = new Random(seed);
		List<SlotBalancer> balancers = CONFIGURATION.entryHosts()
			.stream()
			.map((host) -> balancer(host.name(), CONFIGURATION))
			.toList();
		Map<String, Integer> running = new HashMap<>();
		List<Taken> open = new ArrayList<>();
		long now = 0;
		for (int step = 0; step < 500; step++) {
			now += random.nextInt(5_000_000);
			if (random.nextInt(3) > 0) {
				SlotBalancer balancer = balancers.get(random.nextInt(balancers.size()));
				choose(balancer, Balancer.Overflow.NONE, now).ifPresent((choice) -> {
					open.add(new Taken(balancer, choice.server()));
					running.merge(choice.server().name(), 1, Integer::sum);
				});
			}
			else if (!open.isEmpty()) {
				Taken ended = open.remove(random.nextInt(open.size()));
				AttemptResult end = AttemptResult.values()[random.nextInt(AttemptResult.values().length)];
				ended.balancer.release(ended.server, end, now);
				running.merge(ended.server.name(), -1, Integer::sum);
			}
			assertTrue(running.values().stream().allMatch((count) -> count >= 0 && count <= SLOTS),
					"seed " + seed + ", step " + step + ": " + running);
		}
	}

	private static int taken(List<SlotBalancer> balancers, String server, long now) {
		List<Taken> taken = new ArrayList<>();
		balancers.forEach((balancer) -> {
			Optional<Balancer.Choice> choice = choose(balancer, Balancer.Overflow.NONE, now);
			while (choice.isPresent()) {
				taken.add(new Taken(balancer, choice.get().server()));
				choice = choose(balancer, Balancer.Overflow.NONE, now);
			}
		});
		taken.forEach((each) -> each.balancer.release(each.server, AttemptResult.ANSWERED, now));
		return (int) taken.stream().filter((each) -> each.server.name().equals(server)).count();
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

	private record Taken(SlotBalancer balancer, BackendServer server) {
	}

}
