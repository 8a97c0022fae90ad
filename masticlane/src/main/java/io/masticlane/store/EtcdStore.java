package io.masticlane.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticlane.client.AsyncClient;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A client of the JSON gateway of etcd version 3.
 */
public final class EtcdStore implements Store {

	private static final int OK = 200;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final InetSocketAddress address;

	private final Duration timeout;

	private final Executor executor;

	private final AsyncClient client;

	/**
	 * Creates a new store client.
	 * @param address the address of the store
	 * @param timeout the timeout of connecting and of each call
	 * @param executor runs the continuations of calls
	 */
	public EtcdStore(InetSocketAddress address, Duration timeout, Executor executor) {
		this.address = address;
		this.timeout = timeout;
		this.executor = executor;
		this.client = new AsyncClient(timeout);
	}

	@Override
	public CompletableFuture<Optional<Entry>> read(String key) {
		return call("kv/range", MAPPER.createObjectNode().put("key", encodeKey(key)))
			.thenApply((response) -> entries(response).stream().findFirst());
	}

	@Override
	public CompletableFuture<Long> revision(String key) {
		return call("kv/range", MAPPER.createObjectNode().put("key", encodeKey(key)).put("keys_only", true))
			.thenApply((response) -> response.path("kvs").path(0).path("mod_revision").asLong(ABSENT));
	}

	@Override
	public Watch watch(String key, WatchListener listener) {
		ObjectNode body = MAPPER.createObjectNode();
		body.putObject("create_request").put("key", encodeKey(key));
		return EtcdWatch.open(this.address, request("watch", body), this.timeout, listener);
	}

	@Override
	public CompletableFuture<List<Entry>> list(String prefix) {
		ObjectNode body = MAPPER.createObjectNode()
			.put("key", encodeKey(prefix))
			.put("range_end", encodeKey(rangeEnd(prefix)));
		return call("kv/range", body).thenApply(EtcdStore::entries);
	}

	@Override
	public CompletableFuture<WriteResult> compareAndSet(String key, long expectedRevision, byte[] value, long lease) {
		ObjectNode body = revisionComparison(key, expectedRevision);
		ObjectNode put = body.putArray("success").addObject().putObject("request_put");
		put.put("key", encodeKey(key)).put("value", Base64.getEncoder().encodeToString(value));
		put.put("lease", Long.toString(lease));
		body.putArray("failure").addObject().putObject("request_range").put("key", encodeKey(key));
		return call("kv/txn", body).thenApply(EtcdStore::writeResult);
	}

	@Override
	public CompletableFuture<Boolean> compareAndDelete(String key, long expectedRevision) {
		ObjectNode body = revisionComparison(key, expectedRevision);
		body.putArray("success").addObject().putObject("request_delete_range").put("key", encodeKey(key));
		return call("kv/txn", body).thenApply((response) -> response.path("succeeded").asBoolean());
	}

	@Override
	public CompletableFuture<Long> grantLease(long seconds) {
		return call("lease/grant", MAPPER.createObjectNode().put("TTL", Long.toString(seconds)))
			.thenApply((response) -> response.path("ID").asLong());
	}

	@Override
	public CompletableFuture<Boolean> renewLease(long lease) {
		return call("lease/keepalive", MAPPER.createObjectNode().put("ID", Long.toString(lease)))
			.thenApply((response) -> response.path("result").path("TTL").asLong() > 0);
	}

	@Override
	public CompletableFuture<Void> revokeLease(long lease) {
		return call("lease/revoke", MAPPER.createObjectNode().put("ID", Long.toString(lease)))
			.thenApply((response) -> null);
	}

	private CompletableFuture<JsonNode> call(String method, ObjectNode body) {
		CompletableFuture<JsonNode> result = this.client.call(this.address, request(method, body))
			.handleAsync((response, failure) -> parseResponse(method, response, failure), this.executor);
		this.client.prepare(this.address);
		return result;
	}

	private FullHttpRequest request(String method, ObjectNode body) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/v3/" + method,
				Unpooled.copiedBuffer(body.toString(), StandardCharsets.UTF_8));
		request.headers()
			.set(HttpHeaderNames.HOST, this.address.getHostString() + ":" + this.address.getPort())
			.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
			.set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
		return request;
	}

	private static JsonNode parseResponse(String method, AsyncClient.Response response, Throwable failure) {
		if (failure != null) {
			Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
			throw new StoreException(method + " failed: " + cause, cause);
		}
		if (response.status() != OK) {
			throw new StoreException(method + " returned status " + response.status(), null);
		}
		try {
			return MAPPER.readTree(response.body());
		}
		catch (IOException ex) {
			throw new StoreException(method + " returned malformed JSON", ex);
		}
	}

	private static ObjectNode revisionComparison(String key, long expectedRevision) {
		ObjectNode body = MAPPER.createObjectNode();
		ObjectNode compare = body.putArray("compare").addObject();
		compare.put("key", encodeKey(key)).put("target", "MOD").put("result", "EQUAL");
		compare.put("mod_revision", Long.toString(expectedRevision));
		return body;
	}

	private static WriteResult writeResult(JsonNode response) {
		if (response.path("succeeded").asBoolean()) {
			return new WriteResult(true, response.path("header").path("revision").asLong());
		}
		JsonNode current = response.path("responses").path(0).path("response_range").path("kvs").path(0);
		return new WriteResult(false, current.path("mod_revision").asLong(ABSENT));
	}

	private static List<Entry> entries(JsonNode response) {
		return StreamSupport.stream(response.path("kvs").spliterator(), false).map(EtcdStore::entry).toList();
	}

	static Entry entry(JsonNode node) {
		return new Entry(decodeKey(node.path("key").asText()), node.path("mod_revision").asLong(),
				Base64.getDecoder().decode(node.path("value").asText()));
	}

	private static String rangeEnd(String prefix) {
		return prefix.substring(0, prefix.length() - 1) + (char) (prefix.charAt(prefix.length() - 1) + 1);
	}

	private static String encodeKey(String key) {
		return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
	}

	private static String decodeKey(String key) {
		return new String(Base64.getDecoder().decode(key), StandardCharsets.UTF_8);
	}

}
