package io.masticlane.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A process of the gateway, started with the command and the settings template of the
 * deploy file.
 */
final class Gateway implements AutoCloseable {

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z_.0]+)}}");

	private static final int PORTS = 4;

	private static final int FIRST_PORT = 20_000;

	private static final int LAST_PORT = 32_000;

	private final int[] ports = freePorts();

	private final Path folder;

	private final String name;

	private final Path settings;

	private Process process;

	Gateway(String name, Store store, Path folder) throws IOException {
		this.name = name;
		this.folder = folder;
		this.settings = folder.resolve(name + ".settings");
		Map<String, String> values = new HashMap<>(Map.of("Node", name, "Zone", "howrah", "Region", "bengal-west",
				"Listen.Front", "127.0.0.1:" + this.ports[0], "Listen.Ready", "127.0.0.1:" + this.ports[1],
				"Listen.Directory", "127.0.0.1:" + this.ports[2], "Ip", "127.0.0.1", "PortRange.0",
				String.valueOf(this.ports[3]), "Platform.Address", store.address()));
		values.putAll(Map.of("Platform.MinTtlS", "1", "Limits.MaxFds", "4100", "Bounds.GraceS", "6", "Bounds.ttl_max_s",
				"5", "Bounds.RetryBudgetRatio", "0.2", "Bounds.BudgetSlack", "62", "Bounds.ColdOvershoot", "1.5",
				"Bounds.ColdSlack", "5"));
		values.putAll(Map.of("Bounds.DrainS", "2.5", "Bounds.ConfigApplyS", "2.5"));
		String template = Files.readString(Path.of("deploy/settings.template"))
			.replaceAll("(?m)^regions=.*$", "regions=howrah:bengal-west,gazipur:bengal-east");
		Files.writeString(this.settings, PLACEHOLDER.matcher(template)
			.replaceAll((found) -> Matcher.quoteReplacement(values.get(found.group(1)))));
	}

	void start() throws IOException {
		String run = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		List<String> command = new ArrayList<>(
				Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.environment().put("MASTICLANE_SETTINGS", this.settings.toString());
		builder.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(this.name + ".log").toFile()));
		this.process = builder.start();
	}

	void awaitReady() throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (System.nanoTime() - end < 0) {
			try (Caller caller = new Caller("127.0.0.1:" + this.ports[1])) {
				if (caller.exchange("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n").status() == 200) {
					return;
				}
			}
			catch (IOException ex) {
				// The process does not listen yet.
			}
			TimeUnit.MILLISECONDS.sleep(100);
		}
		throw new IllegalStateException(this.name + " did not become ready");
	}

	String front() {
		return "127.0.0.1:" + this.ports[0];
	}

	String directory() {
		return "127.0.0.1:" + this.ports[2];
	}

	/**
	 * Sends SIGTERM.
	 */
	void terminate() {
		this.process.destroy();
	}

	/**
	 * Sends SIGKILL, and waits until the process has ended.
	 * @throws InterruptedException if the thread is interrupted
	 */
	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	@Override
	public void close() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	/**
	 * Finds free ports below the ephemeral ones, which an outgoing connection may take.
	 * @return the ports
	 */
	private static int[] freePorts() {
		return ThreadLocalRandom.current()
			.ints(FIRST_PORT, LAST_PORT)
			.distinct()
			.filter(Gateway::isFree)
			.limit(PORTS)
			.toArray();
	}

	private static boolean isFree(int port) {
		try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return probe.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
