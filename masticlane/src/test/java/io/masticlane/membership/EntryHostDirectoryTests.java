package io.masticlane.membership;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.masticlane.configuration.ClientBlock;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.Region;
import io.masticlane.route.RoutingTable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EntryHostDirectoryTests {

	private static final long TTL_MILLIS = 1_000;

	private final RoutingTable table = RoutingTable.of(1,
			Configuration.named("test")
				.withRegions(List.of(new Region("west", 100), new Region("north", 100)))
				.withDataCentres(List.of(new DataCentre("west-1", "west"), new DataCentre("north-1", "north")))
				.withEntryHosts(List.of(host("entry-west", "west-1"), host("entry-north", "north-1")))
				.withClientBlocks(List.of(new ClientBlock("10.0.0.0/8", "north"))));

	private final List<EntryHostDirectory.ResponsiveHost> hosts = List.of(responsiveHost("entry-west", 0),
			responsiveHost("entry-north", 9));

	@Test
	public void aClientsBlockDecidesWhichEntryHostComesFirst() throws UnknownHostException {
		EntryHostDirectory directory = EntryHostDirectory.of(this.table, this.hosts, "west", TTL_MILLIS);
		assertTrue(firstEntryHost(directory, "10.1.2.3").startsWith("\"entry-north\""));
		assertTrue(firstEntryHost(directory, "11.1.2.3").startsWith("\"entry-west\""));
	}

	@Test
	public void aChangeOfTheResponsiveHostsOrTheTableRequiresANewDirectory() {
		EntryHostDirectory directory = EntryHostDirectory.of(this.table, this.hosts, "west", TTL_MILLIS);
		assertTrue(directory.isRenderedFrom(this.table, List.copyOf(this.hosts)));
		assertFalse(directory.isRenderedFrom(this.table,
				List.of(responsiveHost("entry-west", 1), responsiveHost("entry-north", 9))));
		assertFalse(directory.isRenderedFrom(RoutingTable.of(2, this.table.configuration()), this.hosts));
	}

	private static String firstEntryHost(EntryHostDirectory directory, String client) throws UnknownHostException {
		String response = new String(directory.response(InetAddress.getByName(client)), StandardCharsets.UTF_8);
		return response.split("\"name\":")[1];
	}

	private static EntryHost host(String name, String dataCentre) {
		return new EntryHost(name, dataCentre, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3");
	}

	private static EntryHostDirectory.ResponsiveHost responsiveHost(String name, double load) {
		return new EntryHostDirectory.ResponsiveHost(name, "incarnation", load, false, 1);
	}

}
