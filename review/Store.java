package io.masticlane.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store: items with revisions, pages, watches, transactions and leases. It
 * answers every call.
 */
final class Store implements AutoCloseable {

	private static final int PAGE_ITEMS = 500;

	private static final Pattern PUT = Pattern.compile("\"Key\":\"([^\"]+)\",\"Value\":\"([^\"]*)\",\"Lease\":(\\d+)");

	private static final Pattern TIME_TO_LIVE = Pattern.compile("\"TtlS_time\":([0-9.]+)");

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private final HttpServer server;

	private long revision = 1;

	Store() throws IOException {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", this::handle);
		this.server.setExecutor(this.threads);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/**
	 * Writes an item like the operator or an instance does.
	 * @param key the key
	 * @param value the value
	 */
	synchronized void put(String key, String value) {
		write(key, value.getBytes(StandardCharsets.UTF_8), 0);
	}

	synchronized void delete(String key) {
		if (this.items.remove(key) != null) {
			this.history.add(new Item(key, null, ++this.revision, 0));
			notifyAll();
		}
	}

	synchronized List<String> keys(String prefix) {
		expire();
		return this.items.keySet().stream().filter((key) -> key.startsWith(prefix)).toList();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			Answer answer = answer(exchange.getRequestURI().getPath(), query(exchange.getRequestURI().getRawQuery()),
					body);
			byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(answer.status(), bytes.length);
			try (OutputStream output = exchange.getResponseBody()) {
				output.write(bytes);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized Answer answer(String path, Map<String, String> query, String body)
			throws InterruptedException {
		expire();
		String prefix = query.getOrDefault("PathPrefix", "");
		if (path.equals("/v1/kv-range")) {
			List<Item> found = this.items.tailMap(query.getOrDefault("after", ""), false)
				.values()
				.stream()
				.filter((item) -> item.key().startsWith(prefix))
				.toList();
			return new Answer(200, "{\"items\":" + list(found.stream().limit(PAGE_ITEMS).toList()) + ",\"HasMore\":"
					+ (found.size() > PAGE_ITEMS) + ",\"At\":" + this.revision + "}");
		}
		if (path.equals("/v1/kv-watch")) {
			return new Answer(200,
					watch(prefix, Long.parseLong(query.get("after")), Long.parseLong(query.get("WaitMs"))));
		}
		if (path.equals("/v1/kv-lease")) {
			Matcher matcher = TIME_TO_LIVE.matcher(body);
			double seconds = matcher.find() ? Double.parseDouble(matcher.group(1)) : 1;
			long id = ++this.revision;
			this.leases.put(id, new Lease(seconds, System.nanoTime()));
			return new Answer(200, "{\"Lease\":" + id + ",\"TtlS_time\":" + seconds + "}");
		}
		if (path.startsWith("/v1/kv-keep/")) {
			long id = Long.parseLong(path.substring("/v1/kv-keep/".length()));
			Lease lease = this.leases.get(id);
			if (lease == null) {
				return new Answer(404, "{}");
			}
			this.leases.put(id, new Lease(lease.seconds(), System.nanoTime()));
			return new Answer(200, "{\"TtlS_time\":" + lease.seconds() + "}");
		}
		if (path.startsWith("/v1/kv-lease-end/")) {
			endLease(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
			return new Answer(200, "{}");
		}
		if (path.equals("/v1/kv-txn")) {
			return transaction(body);
		}
		return new Answer(404, "{}");
	}

	private Answer transaction(String body) {
		Matcher matcher = PUT.matcher(body);
		while (matcher.find()) {
			long lease = Long.parseLong(matcher.group(3));
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Answer(404, "{}");
			}
			write(matcher.group(1), Base64.getDecoder().decode(matcher.group(2)), lease);
		}
		return new Answer(200, "{\"Revision\":" + this.revision + "}");
	}

	private String watch(String prefix, long after, long waitMillis) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		while (changes(prefix, after).isEmpty() && System.nanoTime() - end < 0) {
			wait(10);
			expire();
		}
		return "{\"events\":" + list(changes(prefix, after)) + ",\"At\":" + this.revision + "}";
	}

	private List<Item> changes(String prefix, long after) {
		return this.history.stream()
			.filter((item) -> item.revision() > after && item.key().startsWith(prefix))
			.toList();
	}

	private void write(String key, byte[] value, long lease) {
		Item item = new Item(key, value, ++this.revision, lease);
		this.items.put(key, item);
		this.history.add(item);
		notifyAll();
	}

	private void expire() {
		long now = System.nanoTime();
		Map.copyOf(this.leases).forEach((id, lease) -> {
			if ((now - lease.renewedAt()) / (double) TimeUnit.SECONDS.toNanos(1) > lease.seconds()) {
				endLease(id);
			}
		});
	}

	private void endLease(long id) {
		this.leases.remove(id);
		List.copyOf(this.items.values())
			.stream()
			.filter((item) -> item.lease() == id)
			.forEach((item) -> delete(item.key()));
	}

	private static String list(List<Item> found) {
		return found.stream().map(Item::json).collect(Collectors.joining(",", "[", "]"));
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> values = new HashMap<>();
		if (raw != null) {
			for (String pair : raw.split("&")) {
				String[] parts = pair.split("=", 2);
				values.put(parts[0], URLDecoder.decode((parts.length > 1) ? parts[1] : "", StandardCharsets.UTF_8));
			}
		}
		return values;
	}

	private record Answer(int status, String body) {
	}

	private record Lease(double seconds, long renewedAt) {
	}

	private record Item(String key, byte[] value, long revision, long lease) {

		private String json() {
			String head = "{\"Key\":\"" + this.key + "\",\"Revision\":" + this.revision;
			return (this.value == null) ? head + ",\"Deleted\":true}"
					: head + ",\"Created\":" + this.revision + ",\"Lease\":" + this.lease + ",\"Value\":\""
							+ Base64.getEncoder().encodeToString(this.value) + "\"}";
		}

	}

}
