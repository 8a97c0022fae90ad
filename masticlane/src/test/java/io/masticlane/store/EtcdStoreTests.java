package io.masticlane.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.TimeUnit;

import io.masticlane.fixture.RawServer;
import io.masticlane.fixture.ResponseHeads;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Responses of a store that violate the protocol, and unusual ones that do not.
 */
public class EtcdStoreTests {

	/**
	 * An entry with the key "key" and the value "value".
	 */
	private static final String ENTRY = "{\"key\":\"a2V5\",\"mod_revision\":\"7\",\"value\":\"dmFsdWU=\"}";

	private static final String RANGE = "{\"kvs\":[" + ENTRY + "]}";

	private static final String EVENT = "{\"result\":{\"events\":[{\"kv\":" + ENTRY + "}]}}\n";

	private RawServer server;

	private EtcdStore store;

	@BeforeClass
	public void start() throws IOException {
		this.server = new RawServer();
		this.store = new EtcdStore(this.server.address(), Duration.ofSeconds(5), ForkJoinPool.commonPool());
	}

	@AfterClass(alwaysRun = true)
	public void end() throws IOException {
		this.server.close();
	}

	/**
	 * Guards against an entry that the store has not sent.
	 * @param statusLine the status line
	 * @param header a header line
	 */
	@Test(dataProvider = "malformedHeads", dataProviderClass = ResponseHeads.class)
	public void aResponseWithAMalformedHeadFailsTheCall(String statusLine, String header) {
		this.server.respondWith(response(statusLine, header, RANGE));
		CompletionException failure = expectThrows(CompletionException.class, () -> this.store.read("key").join());
		assertTrue(failure.getCause() instanceof StoreException, failure.toString());
	}

	/**
	 * Guards against a write that the store has not sent.
	 * @param statusLine the status line
	 * @param header a header line
	 */
	@Test(dataProvider = "malformedHeads", dataProviderClass = ResponseHeads.class)
	public void aWatchEndsWithAMalformedHead(String statusLine, String header) throws Exception {
		this.server.respondWith(response(statusLine, header, EVENT));
		Queue<Long> revisions = new ConcurrentLinkedQueue<>();
		watchUntilEnd(revisions);
		assertEquals(List.copyOf(revisions), List.of());
	}

	/**
	 * Guards against writes in the body of a response that reports a failure.
	 */
	@Test
	public void aWatchDeliversNothingFromAnUnsuccessfulResponse() throws Exception {
		this.server.respondWith(response("HTTP/1.1 503 Service Unavailable", ResponseHeads.ORDINARY_HEADER, EVENT));
		Queue<Long> revisions = new ConcurrentLinkedQueue<>();
		watchUntilEnd(revisions);
		TimeUnit.MILLISECONDS.sleep(100);
		assertEquals(List.copyOf(revisions), List.of());
	}

	@Test(dataProvider = "soundHeads", dataProviderClass = ResponseHeads.class)
	public void anUnusualResponseIsRead(String statusLine, String header) throws Exception {
		this.server.respondWith(response(statusLine, header, RANGE));
		Store.Entry entry = this.store.read("key").get(5, TimeUnit.SECONDS).orElseThrow();
		assertEquals(entry.revision(), 7);
		assertEquals(new String(entry.value(), StandardCharsets.UTF_8), "value");
		this.server.respondWith(response(statusLine, header, EVENT + EVENT));
		Queue<Long> revisions = new ConcurrentLinkedQueue<>();
		watchUntilEnd(revisions);
		assertEquals(List.copyOf(revisions), List.of(7L, 7L));
	}

	/**
	 * Guards against a key that counts as absent because the response broke off.
	 */
	@Test
	public void aBodyWithoutALengthThatBreaksOffFailsTheCall() {
		for (String part : List.of("", "{}", RANGE)) {
			this.server.resetAfter("HTTP/1.1 200 OK\r\n\r\n" + part);
			CompletionException failure = expectThrows(CompletionException.class,
					() -> this.store.revision("key").join());
			assertTrue(failure.getCause() instanceof StoreException, failure.toString());
		}
	}

	private void watchUntilEnd(Queue<Long> revisions) throws Exception {
		CompletableFuture<String> ended = new CompletableFuture<>();
		Store.Watch watch = this.store.watch("key", new Store.WatchListener() {
			@Override
			public void keyWritten(Store.Entry entry) {
				revisions.add(entry.revision());
			}

			@Override
			public void watchEnded(String reason) {
				ended.complete(reason);
			}
		});
		ended.get(5, TimeUnit.SECONDS);
		watch.close();
	}

	private static String response(String statusLine, String header, String body) {
		return statusLine + "\r\n" + header + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

}
