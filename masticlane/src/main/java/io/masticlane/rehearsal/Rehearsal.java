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
 * Two gateways on loopback with an example plan, a caller and a backend server. It loads
 * the classes that a gateway needs, so that the build can archive them.
 */
public final class Rehearsal {

	private static final List<String> HOSTS = List.of("rehearsal-1", "rehearsal-2");

	private static final int REQUESTS = 4;

	/**
	 * How long the gateways may take to be ready, and a request to be answered.
	 */
	private static final int PATIENCE_MILLIS = 10_000;

	private static final long POLL_MILLIS = 20;

	/**
	 * How long the gateways run, so that reports, renewals and sweeps happen.
	 */
	private static final long RUN_MILLIS = 1_500;

	private final Platform platform;

	private final PrintStream output;

	private final InMemoryState state = new InMemoryState();

	/**
	 * Creates a rehearsal.
	 * @param platform the platform
	 * @param output the stream for the decisions of the gateways
	 */
	public Rehearsal(Platform platform, PrintStream output) {
		this.platform = platform;
		this.output = output;
	}

	/**
	 * Runs the gateways until they served the requests.
	 * @return the number of requests that were served
	 * @throws IOException if a connection fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	public int run() throws IOException, InterruptedException {
		List<GatewayDaemon> daemons = new ArrayList<>();
		List<GatewaySettings> settings = new ArrayList<>();
		Platform.Example example = this.platform.example();
		try (FixedAnswerServer server = new FixedAnswerServer(example.response())) {
			this.state.put(example.items(server.address()));
			for (String host : HOSTS) {
				settings.add(settings(host));
				daemons.add(new GatewayDaemon(settings.get(settings.size() - 1), new LocalPlatform(),
						new DecisionLog(this.output)));
				daemons.get(daemons.size() - 1).start();
			}
			await(daemons);
			TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
			daemons.forEach(GatewayDaemon::metrics);
			int served = 0;
			for (int request = 0; request < REQUESTS; request++) {
				served += served(settings.get(0).callerAddress(), example.request()) ? 1 : 0;
			}
			served(settings.get(0).directoryAddress(), example.lookUp());
			served(settings.get(0).readinessAddress(), example.readinessCheck());
			return served;
		}
		finally {
			daemons.parallelStream().forEach(GatewayDaemon::stop);
		}
	}

	private static void await(List<GatewayDaemon> daemons) throws IOException, InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS);
		while (!daemons.stream().allMatch(GatewayDaemon::isReady)) {
			if (System.nanoTime() - end > 0) {
				throw new IOException("the gateways of the rehearsal were not ready in " + PATIENCE_MILLIS + " ms");
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
	}

	private static boolean served(InetSocketAddress address, String request) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.setSoTimeout(PATIENCE_MILLIS);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().flush();
			byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
			return new String(start, StandardCharsets.ISO_8859_1).endsWith("200");
		}
	}

	private static GatewaySettings settings(String host) throws IOException {
		Map<String, String> values = Map.of("host", host, "data-centre", "rehearsal", "region", "rehearsal", "regions",
				"rehearsal:rehearsal", "caller-address", free(), "readiness-address", free(), "directory-address",
				free(), "peer-address", free(), "store-address", free());
		return GatewaySettings.from(new SettingSource(GatewaySettings.DESCRIPTORS,
				(flag) -> Optional.ofNullable(values.get(flag)), (variable) -> Optional.empty()));
	}

	private static String free() throws IOException {
		try (ServerSocket probe = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + probe.getLocalPort();
		}
	}

	/**
	 * The platform with a store of this process. The platform's own client is called once
	 * at an address where nobody listens.
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
