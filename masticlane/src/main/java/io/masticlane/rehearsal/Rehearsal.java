package io.masticlane.rehearsal;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.masticlane.gateway.DecisionLog;
import io.masticlane.gateway.Dialect;
import io.masticlane.gateway.GatewayDaemon;
import io.masticlane.gateway.Platform;
import io.masticlane.setting.GatewaySettings;
import io.masticlane.setting.SettingSource;
import io.masticlane.store.SharedState;
import io.netty.channel.EventLoop;

/**
 * Runs two gateways on the loopback interface with an example plan, a caller and a
 * backend server. The run loads the classes that a gateway needs, so that the build can
 * write them to a class data sharing (CDS) archive.
 */
public final class Rehearsal {

	private static final List<String> HOSTS = List.of("rehearsal-1", "rehearsal-2");

	private static final int REQUESTS = 4;

	/**
	 * The timeout for the gateways to become ready, and for each response.
	 */
	private static final int TIMEOUT_MILLIS = 10_000;

	private static final long POLL_INTERVAL_MILLIS = 20;

	/**
	 * The time that the gateways run before the requests, so that load reports, lease
	 * renewals and periodic clean-ups take place and their classes are loaded.
	 */
	private static final long RUN_MILLIS = 1_500;

	private final Platform platform;

	private final PrintStream output;

	private final InMemoryState state = new InMemoryState();

	/**
	 * Creates a rehearsal.
	 * @param platform the platform whose dialect and example are used
	 * @param output the stream for the decision logs of the gateways
	 */
	public Rehearsal(Platform platform, PrintStream output) {
		this.platform = platform;
		this.output = output;
	}

	/**
	 * Starts the gateways, sends the requests, and stops the gateways.
	 * @return the number of requests with a response of status 200
	 * @throws IOException if a connection fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	public int run() throws IOException, InterruptedException {
		List<GatewayDaemon> daemons = new ArrayList<>();
		List<GatewaySettings> settings = new ArrayList<>();
		Platform.Example example = this.platform.example();
		try (FixedResponseServer server = new FixedResponseServer(example.response())) {
			this.state.put(example.items(server.address()));
			for (String host : HOSTS) {
				settings.add(settings(host));
				daemons.add(new GatewayDaemon(settings.get(settings.size() - 1), new LocalPlatform(),
						new DecisionLog(this.output)));
				daemons.get(daemons.size() - 1).start();
			}
			awaitReady(daemons);
			TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
			daemons.forEach(GatewayDaemon::metrics);
			int served = 0;
			for (int request = 0; request < REQUESTS; request++) {
				served += isServed(settings.get(0).callerAddress(), example.request()) ? 1 : 0;
			}
			isServed(settings.get(0).directoryAddress(), example.lookUp());
			isServed(settings.get(0).readinessAddress(), example.readinessCheck());
			return served;
		}
		finally {
			daemons.parallelStream().forEach(GatewayDaemon::stop);
		}
	}

	private static void awaitReady(List<GatewayDaemon> daemons) throws IOException, InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
		while (!daemons.stream().allMatch(GatewayDaemon::isReady)) {
			if (System.nanoTime() - deadline > 0) {
				throw new IOException("the gateways of the rehearsal were not ready within " + TIMEOUT_MILLIS + " ms");
			}
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private static boolean isServed(InetSocketAddress address, String request) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().flush();
			byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
			return new String(start, StandardCharsets.ISO_8859_1).endsWith("200");
		}
	}

	private static GatewaySettings settings(String host) throws IOException {
		Map<String, String> values = Map.of("host", host, "data-centre", "rehearsal", "region", "rehearsal", "regions",
				"rehearsal:rehearsal", "caller-address", freeAddress(), "readiness-address", freeAddress(),
				"directory-address", freeAddress(), "peer-address", freeAddress(), "store-address", freeAddress());
		return GatewaySettings.from(new SettingSource(GatewaySettings.DESCRIPTORS,
				(flag) -> Optional.ofNullable(values.get(flag)), (variable) -> Optional.empty()));
	}

	private static String freeAddress() throws IOException {
		try (ServerSocket probe = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + probe.getLocalPort();
		}
	}

	/**
	 * The platform with an in-memory store. The platform's own store client is called
	 * once, at an address without a listener, so that its classes are loaded.
	 */
	private final class LocalPlatform implements Platform {

		@Override
		public Dialect dialect() {
			return Rehearsal.this.platform.dialect();
		}

		@Override
		public SharedState store(EventLoop loop, InetSocketAddress address) {
			Rehearsal.this.platform.store(loop, address).page("", "");
			return Rehearsal.this.state;
		}

		@Override
		public Example example() {
			return Rehearsal.this.platform.example();
		}

	}

}
