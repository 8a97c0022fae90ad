package io.masticlane.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.stream.IntStream;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.HashedKey;
import io.masticlane.configuration.Objective;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Region;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;
import io.masticlane.demo.BackendStandIn;
import io.masticlane.demo.StoreStandIn;
import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.ConfigurationWriter;
import io.masticlane.store.EtcdStore;
import io.masticlane.store.Store;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * The store and the backend servers for the load benchmarks, at fixed addresses, with a
 * configuration for one entry host.
 */
public final class BenchDeployment implements AutoCloseable {

	static final InetSocketAddress ENTRY_HOST = new InetSocketAddress("127.90.0.1", 8080);

	static final String API_KEY = "bench-1.benchmark";

	private static final InetSocketAddress STORE = new InetSocketAddress("127.90.0.250", 8080);

	private static final int BACKEND_SERVERS = 4;

	private static final int SLOTS = 1_000;

	private static final double LATENCY_OBJECTIVE_MILLIS = 5;

	private static final double REQUESTS_PER_SECOND = 1_000_000;

	private final StoreStandIn store;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final List<BackendStandIn> backendServers;

	/**
	 * Creates a new deployment, starts it and writes its configuration to the store.
	 * @throws IOException if an address cannot be bound
	 */
	public BenchDeployment() throws IOException {
		this.store = new StoreStandIn(STORE);
		this.backendServers = IntStream.range(0, BACKEND_SERVERS)
			.mapToObj((index) -> new BackendStandIn("ledger-" + index, backendServer(index), SLOTS, 0, this.loops))
			.toList();
		byte[] document = ConfigurationDocument.print(configuration()).getBytes(StandardCharsets.UTF_8);
		Store client = new EtcdStore(STORE, Duration.ofSeconds(1), Runnable::run);
		new ConfigurationWriter(client, "masticlane/" + ConfigurationEnvelope.KEY)
			.write(new ConfigurationEnvelope(UUID.randomUUID().toString(), document), Store.ABSENT);
	}

	@Override
	public void close() {
		this.backendServers.forEach(BackendStandIn::close);
		this.loops.shutdownGracefully();
		this.store.close();
	}

	static List<InetSocketAddress> backendServers() {
		return IntStream.range(0, BACKEND_SERVERS).mapToObj(BenchDeployment::backendServer).toList();
	}

	private static InetSocketAddress backendServer(int index) {
		return new InetSocketAddress("127.90.0." + (101 + index), 8080);
	}

	private static Configuration configuration() {
		return Configuration.named("bench")
			.withRegions(List.of(new Region("bench", REQUESTS_PER_SECOND)))
			.withDataCentres(List.of(new DataCentre("bench-1", "bench")))
			.withEntryHosts(List
				.of(new EntryHost("entry-1", "bench-1", hostAndPort(ENTRY_HOST), "127.90.0.1:8081", "127.90.0.1:8082")))
			.withOrganisations(List.of(Organisation.of("bench", REQUESTS_PER_SECOND, REQUESTS_PER_SECOND)
				.withKey(HashedKey.of("bench-1", "benchmark"))))
			.withServices(List.of(Service.of("ledger", Route.idempotent("GET", "/ledger"))))
			.withObjectives(List.of(new Objective("ledger", LATENCY_OBJECTIVE_MILLIS, 0.99, 0.001)))
			.withBackendServers(IntStream.range(0, BACKEND_SERVERS)
				.mapToObj((index) -> BackendServer.of("ledger-" + index, "ledger", "bench-1",
						hostAndPort(backendServer(index)), SLOTS))
				.toList());
	}

	private static String hostAndPort(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
