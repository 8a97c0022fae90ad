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
 * The HTTP server for operators: liveness, readiness, status, error budgets and metrics.
 */
public final class OperatorServer implements AutoCloseable {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private final HttpServer server;

	/**
	 * Creates a new server and starts listening.
	 * @param address the address to listen on
	 * @param metrics the metrics to render
	 * @param ready returns whether the daemon has a configuration in force
	 * @param status returns the current status
	 * @param burn returns the counts of the requests that count towards objectives
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
		this.server.createContext("/health/live", (exchange) -> respond(exchange, OK, utf8("live\n")));
		this.server.createContext("/health/ready", (exchange) -> {
			boolean isReady = ready.get();
			respond(exchange, isReady ? OK : UNAVAILABLE, utf8(isReady ? "ready\n" : "not ready\n"));
		});
		this.server.createContext("/status",
				(exchange) -> respond(exchange, OK, utf8(OperatorDocuments.write(status.get()))));
		this.server.createContext("/burn",
				(exchange) -> respond(exchange, OK, utf8(OperatorDocuments.write(burn.get()))));
		this.server.createContext("/metrics", (exchange) -> respond(exchange, OK, metrics.render()));
		this.server.start();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private static byte[] utf8(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, body.length);
		try (OutputStream output = exchange.getResponseBody()) {
			output.write(body);
		}
	}

}
