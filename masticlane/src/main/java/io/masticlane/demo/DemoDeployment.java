package io.masticlane.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.IntStream;

import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.DataCentre;
import io.masticlane.configuration.EntryHost;
import io.masticlane.configuration.HashedKey;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Region;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;
import io.masticlane.entry.EntryDaemon;
import io.masticlane.event.EventLog;
import io.masticlane.setting.EntrySettings;
import io.masticlane.setting.SettingSource;
import io.masticlane.store.ConfigurationEnvelope;
import io.masticlane.store.ConfigurationWriter;
import io.masticlane.store.EtcdStore;
import io.masticlane.store.Store;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * A store, backend servers and one entry host that run in this process and communicate
 * over sockets.
 */
final class DemoDeployment implements AutoCloseable {

	static final String API_KEY = "demo-1.demonstration";

	private static final String HOST = "127.0.0.1";

	private static final int BACKEND_SERVERS = 4;

	private static final int SLOTS = 7;

	private static final long SERVICE_MILLIS = 3;

	private final StoreStandIn store;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

	private final List<BackendStandIn> backendServers;

	private final EntryDaemon entry;

	private final EntryHost entryHost;

	DemoDeployment() throws IOException {
		this.store = new StoreStandIn(new InetSocketAddress(HOST, 0));
		this.backendServers = IntStream.rangeClosed(1, BACKEND_SERVERS)
			.mapToObj((number) -> new BackendStandIn("ledger-" + number, new InetSocketAddress(HOST, 0), SLOTS,
					SERVICE_MILLIS, this.loops))
			.toList();
		List<String> addresses = freeAddresses(3);
		this.entryHost = new EntryHost("entry-1", "demo-1", addresses.get(0), addresses.get(1), addresses.get(2));
		applyConfiguration();
		this.entry = new EntryDaemon(settings(), EventLog.NoOp.INSTANCE);
	}

	EntryHost entryHost() {
		return this.entryHost;
	}

	List<BackendStandIn> backendServers() {
		return this.backendServers;
	}

	@Override
	public void close() {
		this.entry.close();
		this.backendServers.forEach(BackendStandIn::close);
		this.loops.shutdownGracefully();
		this.store.close();
	}

	private void applyConfiguration() {
		Configuration configuration = Configuration.named("demo")
			.withRegions(List.of(new Region("demo", 10_000)))
			.withDataCentres(List.of(new DataCentre("demo-1", "demo")))
			.withEntryHosts(List.of(this.entryHost))
			.withOrganisations(
					List.of(Organisation.of("demo", 10_000, 1_000).withKey(HashedKey.of("demo-1", "demonstration"))))
			.withServices(List
				.of(Service.of("ledger", Route.idempotent("GET", "/ledger"), Route.atMostOnce("POST", "/ledger/dues"))))
			.withBackendServers(IntStream.range(0, BACKEND_SERVERS)
				.mapToObj((index) -> BackendServer.of("ledger-" + (index + 1), "ledger", "demo-1",
						HOST + ":" + this.backendServers.get(index).address().getPort(), SLOTS))
				.toList());
		byte[] document = ConfigurationDocument.print(configuration).getBytes(StandardCharsets.UTF_8);
		Store client = new EtcdStore(this.store.address(), Duration.ofSeconds(1), Runnable::run);
		new ConfigurationWriter(client, "masticlane/" + ConfigurationEnvelope.KEY)
			.write(new ConfigurationEnvelope(UUID.randomUUID().toString(), document), Store.ABSENT);
	}

	private EntrySettings settings() {
		List<String> flags = List.of("host", this.entryHost.name(), "data-centre", "demo-1", "caller-address",
				this.entryHost.callerAddress(), "peer-address", this.entryHost.peerAddress(), "operator-address",
				this.entryHost.operatorAddress(), "store-address", HOST + ":" + this.store.address().getPort());
		return EntrySettings.from(new SettingSource(EntrySettings.DESCRIPTORS, (flag) -> {
			int index = flags.indexOf(flag);
			return (index >= 0) ? Optional.of(flags.get(index + 1)) : Optional.empty();
		}, (name) -> Optional.empty()));
	}

	private static List<String> freeAddresses(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			sockets.add(new ServerSocket(0));
		}
		List<String> addresses = sockets.stream().map((socket) -> HOST + ":" + socket.getLocalPort()).toList();
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return addresses;
	}

}
