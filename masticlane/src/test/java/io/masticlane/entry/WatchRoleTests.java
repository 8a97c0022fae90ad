package io.masticlane.entry;

import java.util.List;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Region;
import io.masticlane.route.RoutingTable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class WatchRoleTests {

	private static final List<String> HOSTS = IntStream.range(0, 200).mapToObj((index) -> "entry-" + index).toList();

	private static final RoutingTable TABLE = RoutingTable.of(1,
			Configuration.named("test")
				.withRegions(List.of(new Region("west", 1), new Region("north", 1)))
				.withDataCentres(List.of(new DataCentre("west-1", "west"), new DataCentre("north-1", "north")))
				.withEntryHosts(HOSTS.stream()
					.map((name) -> new EntryHost(name, (name.hashCode() % 2 == 0) ? "west-1" : "north-1", "127.0.0.1:1",
							"127.0.0.1:2", "127.0.0.1:3"))
					.toList()));

	@Test
	public void twoEntryHostsOfEachRegionWatchAndTheOthersDoNotCallTheStore() {
		List<WatchRole> roles = HOSTS.stream().map((self) -> role(self, HOSTS, 0)).toList();
		assertEquals(roles.stream().filter(WatchRole::isWatching).count(), 4);
		assertEquals(roles.stream().filter(WatchRole::isPolling).count(), 4);
	}

	@Test
	public void anotherEntryHostWatchesInPlaceOfAnUnresponsiveOne() {
		String watching = HOSTS.stream().filter((self) -> role(self, HOSTS, 0).isWatching()).findFirst().orElseThrow();
		List<String> remaining = HOSTS.stream().filter((host) -> !host.equals(watching)).toList();
		assertEquals(remaining.stream().filter((self) -> role(self, remaining, 0).isWatching()).count(), 4);
	}

	@Test
	public void anEntryHostPollsWhenNoPeerReachesTheStoreOrItHasNoConfiguration() {
		String following = HOSTS.stream().filter((self) -> !role(self, HOSTS, 0).isPolling()).findFirst().orElseThrow();
		assertTrue(role(following, HOSTS, WatchRole.SEARCH_AGE_MILLIS + 1).isPolling());
		assertFalse(role(following, HOSTS, WatchRole.SEARCH_AGE_MILLIS).isPolling());
		assertTrue(WatchRole.of(null, following, List.of(), 0).isPolling());
	}

	private static WatchRole role(String self, List<String> hosts, long storeAgeMillis) {
		List<String> responsive = hosts.stream().filter((host) -> !host.equals(self)).toList();
		return WatchRole.of(TABLE, self, responsive, storeAgeMillis);
	}

}
