package io.masticlane.operator;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.function.Supplier;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Answers operators: liveness, readiness, status and metrics.
 */
public final class OperatorServer implements AutoCloseable {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private final HttpServer server;

	/**
	 * Creates a new server and starts listening.
	 * @param address the address to listen at
	 * @param metrics the metrics to render
	 * @param ready whether the daemon has a configuration in force
	 * @param status the status
	 * @param burn the counts of requests for objectives
	 * @throws IOException if the address cannot be bound
	 */
	public OperatorServer(InetSocketAddress address, Metrics metrics, Supplier<Boolean> ready,
			Supplier<StatusDocument> status, Supplier<BurnDocument> burn) throws IOException {
		this.server = HttpServer.create(address, 0);
		this.server.setExecutor(Executors.newSingleThreadExecutor((task) -> {
			Thread thread = new Thread(task, "operators");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/health/live", (exchange) -> answer(exchange, OK, text("live\n")));
		this.server.createContext("/health/ready", (exchange) -> {
			boolean isReady = ready.get();
			answer(exchange, isReady ? OK : UNAVAILABLE, text(isReady ? "ready\n" : "not ready\n"));
		});
		this.server.createContext("/status",
				(exchange) -> answer(exchange, OK, text(OperatorDocuments.print(status.get()))));
		this.server.createContext("/burn",
				(exchange) -> answer(exchange, OK, text(OperatorDocuments.print(burn.get()))));
		this.server.createContext("/metrics", (exchange) -> answer(exchange, OK, metrics.render()));
		this.server.start();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private static byte[] text(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, body.length);
		try (OutputStream output = exchange.getResponseBody()) {
			output.write(body);
		}
	}

}
