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
	public void twoEntryHostsOfEachRegionWatchAndTheOthersMakeNoCall() {
		List<WatchRole> roles = HOSTS.stream().map((self) -> role(self, HOSTS, 0)).toList();
		assertEquals(roles.stream().filter(WatchRole::watches).count(), 4);
		assertEquals(roles.stream().filter(WatchRole::polls).count(), 4);
	}

	@Test
	public void anotherEntryHostWatchesInPlaceOfOneThatIsNotHeard() {
		String watching = HOSTS.stream().filter((self) -> role(self, HOSTS, 0).watches()).findFirst().orElseThrow();
		List<String> left = HOSTS.stream().filter((host) -> !host.equals(watching)).toList();
		assertEquals(left.stream().filter((self) -> role(self, left, 0).watches()).count(), 4);
	}

	@Test
	public void anEntryHostPollsWhenNoPeerHasHeardTheStoreOrItHasNoConfiguration() {
		String following = HOSTS.stream().filter((self) -> !role(self, HOSTS, 0).polls()).findFirst().orElseThrow();
		assertTrue(role(following, HOSTS, WatchRole.SEARCH_AGE_MILLIS + 1).polls());
		assertFalse(role(following, HOSTS, WatchRole.SEARCH_AGE_MILLIS).polls());
		assertTrue(WatchRole.of(null, following, List.of(), 0).polls());
	}

	private static WatchRole role(String self, List<String> hosts, long storeAgeMillis) {
		List<String> heard = hosts.stream().filter((host) -> !host.equals(self)).toList();
		return WatchRole.of(TABLE, self, heard, storeAgeMillis);
	}

}
