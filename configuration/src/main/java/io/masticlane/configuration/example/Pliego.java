package io.masticlane.configuration.example;

import java.util.List;
import java.util.stream.Stream;

import io.masticlane.configuration.ClientBlock;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.Objective;
import io.masticlane.configuration.PlannedMove;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;

/**
 * The configuration of Pliego Austral Caligrafía: an order desk and a dispatch desk in
 * three cities of Chile.
 */
public final class Pliego {

	private static final List<String> REGIONS = List.of("santiago", "concepcion", "puerto-montt");

	private Pliego() {
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
		return Deployment.of("pliego", REGIONS, 700, 4_000)
			.withOrganisations(List.of(Deployment.organisation("gran-planner", 400, 200),
					Deployment.organisation("bodas-del-sur", 200, 100), Deployment.organisation("gala-norte", 150, 75),
					Deployment.organisation("casa-funeraria", 60, 30), Deployment.organisation("vina-eventos", 60, 30),
					Deployment.organisation("lago-bodas", 40, 20), Deployment.organisation("taller-centro", 40, 20),
					Deployment.organisation("isla-grande", 20, 14)))
			.withServices(List.of(
					Service.of("orders", Route.idempotent("GET", "/orders").withDeadlineMillis(2_000),
							Route.atMostOnce("POST", "/orders/batches"),
							Route.idempotent("GET", "/proofs").withAccess(Route.Access.OPEN)),
					Service.of("dispatch", Route.idempotent("GET", "/dispatch"),
							Route.atMostOnce("POST", "/dispatch"))))
			.withBackendServers(Stream
				.concat(Deployment.backendServers(REGIONS, "orders", 30, 6, 2).stream(),
						Deployment.backendServers(REGIONS, "dispatch", 12, 3, 3).stream())
				.toList())
			.withClientBlocks(List.of(new ClientBlock("10.10.0.0/16", "santiago"),
					new ClientBlock("10.20.0.0/16", "concepcion"), new ClientBlock("10.30.0.0/16", "puerto-montt")))
			.withPlannedMoves(List
				.of(new PlannedMove("winter-desk", "orders", "puerto-montt", "concepcion", 1_800_000_000L, 1_800, 100)))
			.withObjectives(
					List.of(new Objective("orders", 150, 0.99, 0.001), new Objective("dispatch", 400, 0.99, 0.001)));
	}

}
