package io.masticlane.configuration.example;

import java.util.List;
import java.util.stream.Stream;

import io.masticlane.configuration.ClientBlock;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.Objective;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;

/**
 * The configuration of Sonar Tori Chit Records: a ledger and a payout service in three
 * regions of Bengal.
 */
public final class Sonar {

	private static final List<String> REGIONS = List.of("west", "north", "delta");

	private Sonar() {
	}

	/**
	 * Prints the configuration as a JSON document.
	 * @param arguments not used
	 */
	public static void main(String[] arguments) {
		System.out.print(ConfigurationDocument.print(configuration()));
	}

	/**
	 * Returns the configuration.
	 * @return the configuration
	 */
	public static Configuration configuration() {
		return Deployment.of("sonar", REGIONS, 800, 300)
			.withOrganisations(List.of(Deployment.organisation("burrabazar", 400, 200),
					Deployment.organisation("salt-lake", 300, 150), Deployment.organisation("howrah", 200, 100),
					Deployment.organisation("siliguri", 100, 50), Deployment.organisation("malda", 60, 30),
					Deployment.organisation("haldia", 60, 30), Deployment.organisation("asansol", 40, 20),
					Deployment.organisation("kalna", 20, 14)))
			.withServices(List.of(
					Service.of("ledger", Route.idempotent("GET", "/ledger").withDeadlineMillis(2_000),
							Route.atMostOnce("POST", "/ledger/dues")),
					Service.of("payout", Route.idempotent("GET", "/payout"), Route.atMostOnce("POST", "/payout"))))
			.withBackendServers(Stream
				.concat(Deployment.backendServers(REGIONS, "ledger", 30, 7, 2).stream(),
						Deployment.backendServers(REGIONS, "payout", 12, 3, 3).stream())
				.toList())
			.withClientBlocks(List.of(new ClientBlock("10.10.0.0/16", "west"), new ClientBlock("10.20.0.0/16", "north"),
					new ClientBlock("10.30.0.0/16", "delta")))
			.withObjectives(
					List.of(new Objective("ledger", 150, 0.99, 0.001), new Objective("payout", 400, 0.99, 0.001)));
	}

}
