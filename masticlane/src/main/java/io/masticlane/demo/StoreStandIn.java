package io.masticlane.demo;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An in-memory stand-in for the platform's store. It implements the subset of the etcd
 * JSON gateway that masticlane uses.
 */
public final class StoreStandIn implements AutoCloseable {

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private final ObjectMapper mapper = new ObjectMapper();

	private final NavigableMap<String, Entry> entries = new TreeMap<>();

	private final TreeMap<Long, Lease> leases = new TreeMap<>();

	private final HttpServer server;

	private final ExecutorService threads = Executors.newFixedThreadPool(8, (task) -> {
		Thread thread = new Thread(task, "store-stand-in");
		thread.setDaemon(true);
		return thread;
	});

	private final ExecutorService watcherThreads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "store-stand-in-watcher");
		thread.setDaemon(true);
		return thread;
	});

	private final Set<Watcher> watchers = ConcurrentHashMap.newKeySet();

	private long revision = 1;

	private long calls;

	/**
	 * Creates a new stand-in and starts listening.
	 * @param address the address to listen at
	 * @throws IOException if the address cannot be bound
	 */
	public StoreStandIn(InetSocketAddress address) throws IOException {
		this.server = HttpServer.create(address, 0);
		this.server.setExecutor(this.threads);
		this.server.createContext("/v3/", this::handle);
		this.server.start();
	}

	/**
	 * Returns the address that the store listens at.
	 * @return the address that the store listens at
	 */
	public InetSocketAddress address() {
		return this.server.getAddress();
	}

	/**
	 * Deletes all keys and resets the revision to its initial value, as if the store had
	 * lost its data.
	 */
	public synchronized void loseData() {
		this.entries.clear();
		this.revision = 1;
	}

	/**
	 * Returns the number of open watches, including those whose client has disconnected
	 * without the store having detected it.
	 * @return the number of watches
	 */
	public int watches() {
		return this.watchers.size();
	}

	/**
	 * Returns the number of calls that the store has received.
	 * @return the number of calls that the store has received
	 */
	public synchronized long calls() {
		return this.calls;
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
		this.watcherThreads.shutdownNow();
	}

	private void handle(HttpExchange exchange) throws IOException {
		JsonNode body = this.mapper.readTree(exchange.getRequestBody());
		if (exchange.getRequestURI().getPath().equals("/v3/watch")) {
			watch(exchange, decode(body.path("create_request").path("key").asText()));
			return;
		}
		ObjectNode response = dispatch(exchange.getRequestURI().getPath(), body);
		byte[] bytes = ((response != null) ? response.toString() : "{\"error\":\"unknown method\"}")
			.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders((response != null) ? OK : BAD_REQUEST, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private void watch(HttpExchange exchange, String key) throws IOException {
		exchange.sendResponseHeaders(OK, 0);
		Watcher watcher = new Watcher(key, exchange.getResponseBody());
		synchronized (this) {
			this.calls++;
			this.watchers.add(watcher);
			ObjectNode created = this.mapper.createObjectNode();
			created.putObject("result").put("created", true);
			send(watcher, created);
		}
	}

	private void send(Watcher watcher, ObjectNode message) {
		byte[] line = (message + "\n").getBytes(StandardCharsets.UTF_8);
		this.watcherThreads.execute(() -> {
			if (!watcher.write(line)) {
				this.watchers.remove(watcher);
			}
		});
	}

	private void notifyWatchers(String key) {
		ObjectNode message = this.mapper.createObjectNode();
		ObjectNode changed = message.putObject("result").putArray("events").addObject().putObject("kv");
		writeEntry(changed, key, this.entries.get(key));
		this.watchers.stream().filter((watcher) -> watcher.key().equals(key)).forEach((each) -> send(each, message));
	}

	private synchronized ObjectNode dispatch(String path, JsonNode body) {
		this.calls++;
		expireLeases();
		return switch (path) {
			case "/v3/kv/range" -> range(body);
			case "/v3/kv/txn" -> transaction(body);
			case "/v3/lease/grant" -> grant(body);
			case "/v3/lease/keepalive" -> keepAlive(body);
			case "/v3/lease/revoke" -> revoke(body);
			default -> null;
		};
	}

	private ObjectNode range(JsonNode body) {
		String key = decode(body.path("key").asText());
		String end = body.has("range_end") ? decode(body.path("range_end").asText()) : key + "\0";
		ObjectNode response = header();
		ArrayNode kvs = response.putArray("kvs");
		this.entries.subMap(key, true, end, false).forEach((each, entry) -> {
			ObjectNode node = kvs.addObject();
			writeEntry(node, each, entry);
			if (body.path("keys_only").asBoolean()) {
				node.remove("value");
			}
		});
		return response.put("count", Integer.toString(kvs.size()));
	}

	private static void writeEntry(ObjectNode node, String key, Entry entry) {
		node.put("key", encode(key)).put("value", entry.value());
		node.put("mod_revision", Long.toString(entry.revision())).put("lease", Long.toString(entry.lease()));
	}

	private ObjectNode transaction(JsonNode body) {
		JsonNode compare = body.path("compare").path(0);
		Entry existing = this.entries.get(decode(compare.path("key").asText()));
		long existingRevision = (existing != null) ? existing.revision() : 0;
		boolean succeeded = compare.path("mod_revision").asLong() == existingRevision;
		ObjectNode responses = this.mapper.createObjectNode();
		ArrayNode list = responses.putArray("responses");
		body.path(succeeded ? "success" : "failure").forEach((operation) -> executeOperation(operation, list));
		ObjectNode response = header().put("succeeded", succeeded);
		response.set("responses", list);
		return response;
	}

	private void executeOperation(JsonNode operation, ArrayNode responses) {
		if (operation.has("request_put")) {
			JsonNode put = operation.get("request_put");
			this.revision++;
			String key = decode(put.path("key").asText());
			this.entries.put(key, new Entry(this.revision, put.path("value").asText(), put.path("lease").asLong()));
			notifyWatchers(key);
			responses.addObject().putObject("response_put");
		}
		else if (operation.has("request_delete_range")) {
			this.revision++;
			this.entries.remove(decode(operation.get("request_delete_range").path("key").asText()));
			responses.addObject().putObject("response_delete_range");
		}
		else {
			responses.addObject().set("response_range", range(operation.path("request_range")));
		}
	}

	private ObjectNode grant(JsonNode body) {
		long id = this.leases.isEmpty() ? 1 : this.leases.lastKey() + 1;
		Lease lease = new Lease(body.path("TTL").asLong(), 0).renewed();
		this.leases.put(id, lease);
		return header().put("ID", Long.toString(id)).put("TTL", Long.toString(lease.ttlSeconds()));
	}

	private ObjectNode keepAlive(JsonNode body) {
		Lease lease = this.leases.computeIfPresent(body.path("ID").asLong(), (id, existing) -> existing.renewed());
		ObjectNode response = this.mapper.createObjectNode();
		response.putObject("result")
			.put("ID", body.path("ID").asText())
			.put("TTL", Long.toString((lease != null) ? lease.ttlSeconds() : 0));
		return response;
	}

	private ObjectNode revoke(JsonNode body) {
		removeLease(body.path("ID").asLong());
		return header();
	}

	private void expireLeases() {
		long now = System.nanoTime();
		this.leases.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().expiresAt() - now <= 0)
			.map((entry) -> entry.getKey())
			.toList()
			.forEach(this::removeLease);
	}

	private void removeLease(long id) {
		this.leases.remove(id);
		if (this.entries.values().removeIf((entry) -> entry.lease() == id)) {
			this.revision++;
		}
	}

	private ObjectNode header() {
		ObjectNode response = this.mapper.createObjectNode();
		response.putObject("header").put("revision", Long.toString(this.revision));
		return response;
	}

	private static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String decode(String text) {
		return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
	}

	private record Entry(long revision, String value, long lease) {
	}

	private record Watcher(String key, OutputStream output) {

		synchronized boolean write(byte[] line) {
			try {
				this.output.write(line);
				this.output.flush();
				return true;
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

	private record Lease(long ttlSeconds, long expiresAt) {

		Lease renewed() {
			return new Lease(this.ttlSeconds, System.nanoTime() + TimeUnit.SECONDS.toNanos(this.ttlSeconds));
		}

	}

}
