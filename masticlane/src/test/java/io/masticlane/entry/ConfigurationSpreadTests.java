package io.masticlane.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.ConfigurationDocument;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Route;
import io.masticlane.configuration.Service;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.FaultProxy;
import io.masticlane.fixture.Fleet;
import io.masticlane.platform.ConfigurationEnvelope;
import io.masticlane.platform.Store;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ConfigurationSpreadTests {

	private static final String KEY = "masticlane/" + ConfigurationEnvelope.KEY;

	private static final long IN_FORCE_MILLIS = 10_000;

	private static final long WITHDRAWN_MILLIS = 5_000;

	private static final List<Integer> ALL = IntStream.range(0, 7).boxed().toList();

	private static final List<Integer> NORTH = List.of(1, 4);

	private Fleet fleet;

	@BeforeClass
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(7, 3, 50, 1,
				(configuration) -> configuration.withServices(
						List.of(Service.of("ledger", Route.idempotent("GET", "/ledger").withDeadlineMillis(120_000),
								Route.atMostOnce("POST", "/ledger/dues")))));
	}

	@AfterMethod(alwaysRun = true)
	public void heal() {
		this.fleet.storeProxies().forEach(FaultProxy::heal);
		ALL.forEach((index) -> this.fleet.peerProxy(index).heal());
		ALL.forEach((index) -> Await.until("entry host " + index + " hears all others", () -> hearsAll(index)));
	}

	@AfterClass(alwaysRun = true)
	public void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	public void aRevisionIsInForceEverywhere() {
		assertInForceEverywhere("healthy", this.fleet.apply(adjusted(101)));
	}

	@Test
	public void aRevisionIsInForceEverywhereAlthoughARegionIsCutFromTheStore() {
		NORTH.forEach((index) -> this.fleet.storeProxy(index).cut());
		assertInForceEverywhere("a region cut from the store", this.fleet.apply(adjusted(102)));
	}

	@Test
	public void aRevisionIsInForceEverywhereAlthoughOnlyOneEntryHostHearsTheStore() {
		ALL.stream().skip(1).forEach((index) -> this.fleet.storeProxy(index).cut());
		assertInForceEverywhere("one entry host hears the store", this.fleet.apply(adjusted(103)));
	}

	@Test
	public void aRevisionIsInForceEverywhereAlthoughAllConnectionsWentSilent() {
		this.fleet.storeProxies().forEach(FaultProxy::silenceOpenConnections);
		ALL.forEach((index) -> this.fleet.peerProxy(index).silenceOpenConnections());
		assertInForceEverywhere("every open connection silent", this.fleet.apply(adjusted(104)));
	}

	@Test
	public void anEntryHostThatIsReplacedWhileTheStoreIsDownServesByThePeersRevision() {
		long revision = this.fleet.apply(adjusted(105));
		awaitEverywhere(revision);
		this.fleet.storeProxies().forEach(FaultProxy::cut);
		this.fleet.entry(3).kill();
		this.fleet.entry(3).start();
		Await.until("the replaced entry host serves",
				() -> revision(3) == revision && this.fleet.send(3, balance("org-1")).statusCode() == 200);
	}

	@Test
	public void aRevisionNeverRevertsWhenTheStoreLostItsData() {
		long revision = this.fleet.apply(adjusted(106));
		awaitEverywhere(revision);
		this.fleet.store().loseData();
		byte[] older = new ConfigurationEnvelope("older", document(adjusted(1))).encode();
		assertTrue(this.fleet.storeClient().compareAndSet(KEY, Store.ABSENT, older, Store.NO_LEASE).join().succeeded());
		this.fleet.entry(0).kill();
		this.fleet.entry(0).start();
		Await.until("the replaced entry host is back at the fleet's revision", () -> revision(0) == revision);
		ALL.forEach((index) -> assertEquals(revision(index), revision));
		long present = this.fleet.storeClient().revision(KEY).join();
		while (present <= revision) {
			present = this.fleet.storeClient().compareAndSet(KEY, present, older, Store.NO_LEASE).join().revision();
		}
		this.fleet.resume(adjusted(107), present);
		awaitEverywhere(this.fleet.apply(adjusted(108)));
	}

	@Test
	public void anUnacceptableDocumentInTheStoreLeavesTheFormerInForce() {
		long revision = this.fleet.apply(adjusted(109));
		awaitEverywhere(revision);
		Store store = this.fleet.storeClient();
		long broken = store
			.compareAndSet(KEY, revision, "nonce\n{\"schemaVersion\":9}".getBytes(StandardCharsets.UTF_8),
					Store.NO_LEASE)
			.join()
			.revision();
		this.fleet.resume(adjusted(109), broken);
		long next = this.fleet.apply(adjusted(110));
		assertTrue(next > broken);
		awaitEverywhere(next);
	}

	@Test
	public void aWithdrawnKeyStopsWorkingForConnectedCallersAlsoWithARegionCutFromTheStore() throws Exception {
		NORTH.forEach((index) -> this.fleet.storeProxy(index).cut());
		List<Stream> streams = new ArrayList<>();
		for (int index : ALL) {
			streams.add(new Stream(this.fleet.callerAddress(index), Fleet.key("org-8")));
		}
		streams.forEach((stream) -> Await.until("an answer streams", () -> stream.bytes > 200));
		long begun = System.nanoTime();
		this.fleet.apply(withoutKey(this.fleet.configuration(), "org-8"));
		streams.forEach((stream) -> Await.until("the stream ends", () -> stream.ended));
		for (int index : ALL) {
			Await.until("the key is refused", () -> this.fleet.send(index, balance("org-8")).statusCode() == 403);
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
		assertTrue(millis < WITHDRAWN_MILLIS, "the withdrawal took " + millis + " ms");
		assertEquals(this.fleet.send(1, balance("org-7")).statusCode(), 200);
	}

	private void assertInForceEverywhere(String description, long revision) {
		long begun = System.nanoTime();
		awaitEverywhere(revision);
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
		System.out.println("in force everywhere, " + description + ": " + millis + " ms");
		assertTrue(millis < IN_FORCE_MILLIS, "the spread took " + millis + " ms");
	}

	private void awaitEverywhere(long revision) {
		Await.until("revision " + revision + " is in force everywhere",
				() -> ALL.stream().allMatch((index) -> revision(index) == revision));
	}

	private long revision(int index) {
		try {
			String status = this.fleet.operator(index, "/status");
			return Long.parseLong(status.replaceAll("(?s).*\"revision\":([0-9]+).*", "$1"));
		}
		catch (IOException ex) {
			return -1;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private boolean hearsAll(int index) throws IOException, InterruptedException {
		return this.fleet.get(index, "/v1/entry-hosts").body().split("\"name\"").length == 8;
	}

	private Configuration adjusted(double burst) {
		UnaryOperator<Organisation> adjustment = (each) -> new Organisation(each.name(), each.requestsPerSecond(),
				each.name().equals("org-1") ? burst : each.burst(), each.keys());
		Configuration present = this.fleet.configuration();
		return present.withOrganisations(present.organisations().stream().map(adjustment).toList());
	}

	private static Configuration withoutKey(Configuration present, String organisation) {
		return present.withOrganisations(present.organisations()
			.stream()
			.map((each) -> each.name().equals(organisation) ? each.withoutKey(organisation + "-1") : each)
			.toList());
	}

	private static byte[] document(Configuration configuration) {
		return ConfigurationDocument.print(configuration).getBytes(StandardCharsets.UTF_8);
	}

	private static Fleet.Call balance(String organisation) {
		return Fleet.Call.get("/ledger/balance").by(organisation);
	}

	/**
	 * A caller that reads an answer without end.
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
