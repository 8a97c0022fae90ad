package io.masticlane.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.FaultProxy;
import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class KeyRevocationTests {

	private static final long MAXIMUM_REVOCATION_MILLIS = 5_000;

	/**
	 * The maximum time until a disconnected host refuses a revoked key: the default of
	 * stale-millis and the maximum for a host that receives messages from peers.
	 */
	private static final long MAXIMUM_DISCONNECTED_REVOCATION_MILLIS = 5_000 + MAXIMUM_REVOCATION_MILLIS;

	private static final List<Integer> ALL_HOSTS = IntStream.range(0, 7).boxed().toList();

	private static final List<Integer> NORTH_HOSTS = List.of(1, 4);

	private static final List<Integer> OTHER_HOSTS = List.of(0, 2, 3, 5, 6);

	private Fleet fleet;

	@BeforeMethod
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(7, 3, 50, 1,
				(configuration) -> configuration.withServices(
						List.of(Service.of("ledger", Route.idempotent("GET", "/ledger").withDeadlineMillis(120_000),
								Route.atMostOnce("POST", "/ledger/dues")))));
	}

	@AfterMethod(alwaysRun = true)
	public void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	public void aRevokedKeyStopsWorkingForConnectedCallersAlsoInARegionDisconnectedFromTheStore() throws Exception {
		NORTH_HOSTS.forEach((index) -> this.fleet.storeProxy(index).disconnect());
		List<Stream> streams = streams("org-8");
		long startedAt = System.nanoTime();
		this.fleet.apply(withoutKey(this.fleet.configuration(), "org-8"));
		streams.forEach((stream) -> Await.until("the stream ends", () -> stream.ended));
		for (int index : ALL_HOSTS) {
			Await.until("the key is refused", () -> this.fleet.send(index, balance("org-8")).statusCode() == 403);
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
		System.out.println("revoked with a region disconnected from the store: " + millis + " ms");
		assertTrue(millis < MAXIMUM_REVOCATION_MILLIS, "the revocation took " + millis + " ms");
		assertEquals(this.fleet.send(1, balance("org-7")).statusCode(), 200);
	}

	@Test
	public void aDisconnectedRegionRefusesKeyedRequestsUntilItReceivesTheRevocation() throws Exception {
		List<Stream> streams = streams("org-8");
		NORTH_HOSTS.forEach((index) -> this.fleet.storeProxy(index).disconnect());
		this.fleet.partition(NORTH_HOSTS, OTHER_HOSTS);
		long startedAt = System.nanoTime();
		this.fleet.apply(withoutKey(this.fleet.configuration(), "org-8"));
		streams.forEach((stream) -> Await.until("the stream ends", () -> stream.ended));
		for (int index : NORTH_HOSTS) {
			Await.until("the disconnected host refuses the request",
					() -> this.fleet.send(index, balance("org-8")).statusCode() == 503);
			HttpResponse<String> refusal = this.fleet.send(index, balance("org-7"));
			assertTrue(refusal.body().contains("\"kind\":\"stale\""), refusal.body());
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
		System.out.println("revoked with a region disconnected from all: " + millis + " ms");
		assertTrue(millis < MAXIMUM_DISCONNECTED_REVOCATION_MILLIS, "the revocation took " + millis + " ms");
		assertEquals(this.fleet.send(0, balance("org-7")).statusCode(), 200);
		ALL_HOSTS.forEach((index) -> this.fleet.peerProxy(index).clearFaults());
		for (int index : NORTH_HOSTS) {
			Await.until("the region serves again", () -> this.fleet.send(index, balance("org-7")).statusCode() == 200);
			assertEquals(this.fleet.send(index, balance("org-8")).statusCode(), 403);
		}
	}

	@Test
	public void aRequestThatWaitsDuringAPauseOfTheEntryHostIsNotServedForARevokedKey() throws Exception {
		assertEquals(this.fleet.send(3, balance("org-8")).statusCode(), 200);
		this.fleet.entry(3).pause();
		CompletableFuture<Integer> waiting = CompletableFuture.supplyAsync(() -> status(3, "org-8"));
		long revision = this.fleet.apply(withoutKey(this.fleet.configuration(), "org-8"));
		long pausedAt = System.nanoTime();
		Await.until("the others have the revocation in force and the bound has passed",
				() -> status(0, "org-8") == 403 && System.nanoTime() - pausedAt > TimeUnit.SECONDS.toNanos(6));
		this.fleet.entry(3).resume();
		assertTrue(List.of(403, 503).contains(waiting.join()), "the status was " + waiting.join());
		Await.until("revision " + revision + " is in force", () -> status(3, "org-8") == 403);
		assertEquals(status(3, "org-7"), 200);
	}

	private int status(int index, String organisation) {
		try {
			return this.fleet.send(index, balance(organisation)).statusCode();
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Test
	public void keyedRequestsAreServedDuringAStoreOutageAndTheLossOfAnEntryHost() throws Exception {
		this.fleet.storeProxies().forEach(FaultProxy::disconnect);
		this.fleet.entry(6).kill();
		for (int index = 0; index < 6; index++) {
			int host = index;
			Await.until("the last contact with the store is older than twice the bound",
					() -> storeAgeMillis(host) > 10_000);
			assertEquals(this.fleet.send(index, balance("org-1")).statusCode(), 200);
		}
		this.fleet.entry(6).start();
		Await.until("the replaced entry host serves", () -> this.fleet.send(6, balance("org-1")).statusCode() == 200);
	}

	private List<Stream> streams(String organisation) throws IOException {
		List<Stream> streams = new ArrayList<>();
		for (int index : ALL_HOSTS) {
			streams.add(new Stream(this.fleet.callerAddress(index), Fleet.key(organisation)));
		}
		streams.forEach((stream) -> Await.until("a response streams", () -> stream.bytes > 200));
		return streams;
	}

	private long storeAgeMillis(int index) throws IOException, InterruptedException {
		String status = this.fleet.operatorResponse(index, "/status");
		return Long.parseLong(status.replaceAll("(?s).*\"storeAgeMillis\":([0-9]+).*", "$1"));
	}

	private static Configuration withoutKey(Configuration configuration, String organisation) {
		return configuration.withOrganisations(configuration.organisations()
			.stream()
			.map((each) -> each.name().equals(organisation) ? each.withoutKey(organisation + "-1") : each)
			.toList());
	}

	private static Fleet.Call balance(String organisation) {
		return Fleet.Call.get("/ledger/balance").withKeyOf(organisation);
	}

	/**
	 * A caller that reads an unending response.
	 */
	private static final class Stream {

		private volatile long bytes;

		private volatile boolean ended;

		private Stream(String address, String key) throws IOException {
			int colon = address.indexOf(':');
			Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
			socket.getOutputStream()
				.write(("GET /ledger/stream HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + key + "\r\n\r\n")
					.getBytes(StandardCharsets.UTF_8));
			Thread reader = new Thread(() -> read(socket), "stream");
			reader.setDaemon(true);
			reader.start();
		}

		private void read(Socket socket) {
			byte[] buffer = new byte[512];
			try (InputStream input = socket.getInputStream()) {
				for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
					this.bytes += read;
				}
			}
			catch (IOException ex) {
				this.bytes = -1;
			}
			this.ended = true;
		}

	}

}
