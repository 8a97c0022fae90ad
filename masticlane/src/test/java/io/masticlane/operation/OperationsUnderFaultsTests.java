package io.masticlane.operation;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.masticlane.fixture.Await;
import io.masticlane.fixture.EntryProcess;
import io.masticlane.fixture.FaultProxy;
import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against an operation that runs twice, or is reported as not run although it ran,
 * when a caller retries it at other entry hosts while processes, connections or the store
 * fail.
 */
public class OperationsUnderFaultsTests {

	private static final boolean EVERY_CASE = Boolean.getBoolean("masticlane.everyCase");

	private static final int FIRST = 2;

	private static final int SECOND = 4;

	private static final int THIRD = 5;

	private Fleet fleet;

	@BeforeClass
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(7, 12, 7, 5, UnaryOperator.identity());
	}

	@AfterClass(alwaysRun = true)
	public void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@DataProvider
	public Object[][] faults() {
		return cases(Arrays.asList(Fault.values()));
	}

	/**
	 * Combines each item with one kind of key in turn, or with every kind if
	 * {@code masticlane.everyCase} is set.
	 */
	private static Object[][] cases(List<?> items) {
		List<KeyOwner> owners = List.of(KeyOwner.values());
		return IntStream.range(0, items.size())
			.boxed()
			.flatMap((index) -> (EVERY_CASE ? owners.stream() : Stream.of(owners.get(index % owners.size())))
				.map((owner) -> new Object[] { items.get(index), owner }))
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "faults")
	public void aFaultWhileAnOperationRunsNeverMakesItRunTwice(Fault fault, KeyOwner owner) throws Exception {
		Caller caller = new Caller(owner.key(this.fleet), "/ledger/dues?answer=late");
		CompletableFuture<Void> first = caller.beginAttempt(FIRST);
		Await.until("the operation is running", () -> caller.runs() == 1);
		fault.inject(this.fleet);
		caller.attempt(SECOND);
		assertNewOperationRuns();
		caller.attempt(THIRD);
		heal(fault);
		first.join();
		List.of(FIRST, SECOND, THIRD).forEach(caller::attempt);
		caller.checkOutcomes();
		assertEquals(caller.runs(), 1);
	}

	@Test(dataProvider = "faults")
	public void aFaultBeforeAnOperationRunsNeverMakesItRunTwice(Fault fault, KeyOwner owner) throws Exception {
		Caller caller = new Caller(owner.key(this.fleet), "/ledger/dues");
		fault.inject(this.fleet);
		CompletableFuture<Void> first = caller.beginAttempt(FIRST);
		caller.attempt(SECOND);
		assertNewOperationRuns();
		caller.attempt(THIRD);
		heal(fault);
		first.join();
		List.of(FIRST, SECOND, THIRD).forEach(caller::attempt);
		caller.checkOutcomes();
	}

	@DataProvider
	public Object[][] responses() {
		return cases(List.of("late", "crossed", "lost", "truncated", "unfinished"));
	}

	@Test(dataProvider = "responses")
	public void aFaultyResponseNeverMakesAnOperationRunTwice(String response, KeyOwner owner) {
		Caller caller = new Caller(owner.key(this.fleet), "/ledger/dues?answer=" + response);
		CompletableFuture<Void> first = caller.beginAttempt(FIRST);
		Await.until("the operation is running", () -> caller.runs() == 1);
		caller.attempt(SECOND);
		first.join();
		List.of(FIRST, THIRD).forEach(caller::attempt);
		caller.checkOutcomes();
		assertEquals(caller.runs(), 1);
	}

	@Test
	public void aRetryAtTheOwnerReceivesTheRecordedResponse() throws Exception {
		Fleet.Call call = Fleet.Call.post("/ledger/dues", KeyOwner.OWNED.key(this.fleet)).withKeyOf("org-1");
		HttpResponse<String> response = this.fleet.send(FIRST, call);
		HttpResponse<String> replayed = this.fleet.send(FIRST, call);
		assertEquals(response.statusCode(), 200);
		assertEquals(replayed.body(), response.body());
		assertEquals(this.fleet.runs(call.headers().get(1)), 1);
		Fleet.Call differentRequest = new Fleet.Call("POST", "/ledger/dues", call.headers(), "another due");
		assertEquals(this.fleet.send(FIRST, differentRequest).statusCode(), 422);
	}

	@Test
	public void anOperationWithTheKeyPrefixOfAnEntryHostWritesNothingToTheStore() throws Exception {
		String prefix = "masticlane/operations/";
		int before = this.fleet.storeClient().list(prefix).join().size();
		Fleet.Call call = Fleet.Call.post("/ledger/dues", KeyOwner.OWNED.key(this.fleet)).withKeyOf("org-1");
		assertEquals(this.fleet.send(SECOND, call).statusCode(), 200);
		assertEquals(this.fleet.storeClient().list(prefix).join().size(), before);
	}

	private void assertNewOperationRuns() throws Exception {
		String operation = this.fleet.operationPrefix(SECOND, SECOND) + UUID.randomUUID();
		Fleet.Call call = Fleet.Call.post("/ledger/dues", operation).withKeyOf("org-2");
		assertEquals(this.fleet.send(SECOND, call).statusCode(), 200);
		assertEquals(this.fleet.runs(operation), 1);
	}

	private void heal(Fault fault) {
		fault.heal(this.fleet);
		IntStream.range(0, 7)
			.forEach((index) -> Await.until("entry host " + index + " lists all entry hosts",
					() -> this.fleet.get(index, "/v1/entry-hosts").body().split("\"name\"").length == 8));
	}

	/**
	 * Which entry host owns the operation, by the prefix of its idempotency key.
	 */
	private enum KeyOwner {

		OWNED {
			@Override
			String key(Fleet fleet) {
				return fleet.operationPrefix(FIRST, FIRST) + UUID.randomUUID();
			}
		},

		OWNED_BY_ANOTHER {
			@Override
			String key(Fleet fleet) {
				return fleet.operationPrefix(THIRD, FIRST) + UUID.randomUUID();
			}
		},

		STORED {
			@Override
			String key(Fleet fleet) {
				return UUID.randomUUID().toString();
			}
		};

		abstract String key(Fleet fleet);

	}

	/**
	 * A fault of the first entry host, alone or combined with a fault of the store or of
	 * another entry host.
	 */
	private enum Fault {

		KILLED((fleet) -> fleet.entry(FIRST).kill(), (fleet) -> fleet.entry(FIRST).start()),

		REPLACED((fleet) -> {
			fleet.entry(FIRST).kill();
			fleet.entry(FIRST).start();
		}, (fleet) -> {
		}),

		PAUSED((fleet) -> fleet.entry(FIRST).pause(), (fleet) -> fleet.entry(FIRST).resume()),

		CUT_FROM_PEERS((fleet) -> fleet.partition(FIRST, List.of(0, 1, 3, 4, 5, 6)), Fault::healPeers),

		CUT_FROM_STORE((fleet) -> fleet.storeProxy(FIRST).disconnect(), Fault::healStore),

		STORE_DOWN((fleet) -> fleet.storeProxies().forEach(FaultProxy::disconnect), Fault::healStore),

		STORE_REPLIES_LOST((fleet) -> fleet.storeProxies().forEach(FaultProxy::discardReplies), Fault::healStore),

		KILLED_WITH_STORE_DOWN((fleet) -> {
			fleet.entry(FIRST).kill();
			fleet.storeProxies().forEach(FaultProxy::disconnect);
		}, (fleet) -> {
			healStore(fleet);
			fleet.entry(FIRST).start();
		}),

		PAUSED_WITH_OWNER_CUT_FROM_PEERS((fleet) -> {
			fleet.entry(FIRST).pause();
			fleet.partition(THIRD, List.of(0, 1, 2, 3, 4, 6));
		}, (fleet) -> {
			healPeers(fleet);
			fleet.entry(FIRST).resume();
		}),

		CUT_FROM_PEERS_WITH_STORE_DOWN((fleet) -> {
			fleet.partition(FIRST, List.of(0, 1, 3, 4, 5, 6));
			fleet.storeProxies().forEach(FaultProxy::disconnect);
		}, (fleet) -> {
			healPeers(fleet);
			healStore(fleet);
		});

		private final Consumer<Fleet> injection;

		private final Consumer<Fleet> healing;

		Fault(Consumer<Fleet> injection, Consumer<Fleet> healing) {
			this.injection = injection;
			this.healing = healing;
		}

		void inject(Fleet fleet) {
			this.injection.accept(fleet);
		}

		void heal(Fleet fleet) {
			this.healing.accept(fleet);
			fleet.entries().stream().filter((entry) -> !entry.isAlive()).forEach(EntryProcess::start);
		}

		private static void healPeers(Fleet fleet) {
			IntStream.range(0, fleet.entries().size()).forEach((index) -> fleet.peerProxy(index).clearFaults());
		}

		private static void healStore(Fleet fleet) {
			fleet.storeProxies().forEach(FaultProxy::clearFaults);
		}

	}

	/**
	 * Makes attempts at one operation and checks their outcomes.
	 */
	private final class Caller {

		private final String operation;

		private final Fleet.Call call;

		private final List<String> outcomes = new ArrayList<>();

		Caller(String operation, String path) {
			this.operation = operation;
			this.call = Fleet.Call.post(path, operation).withKeyOf("org-1");
		}

		int runs() {
			return OperationsUnderFaultsTests.this.fleet.runs(this.operation);
		}

		CompletableFuture<Void> beginAttempt(int entryHost) {
			return CompletableFuture.runAsync(() -> attempt(entryHost));
		}

		void attempt(int entryHost) {
			try {
				HttpResponse<String> response = OperationsUnderFaultsTests.this.fleet.send(entryHost, this.call);
				record((response.statusCode() == 200) ? "answered"
						: response.headers().firstValue("Request-Outcome").orElse("none"));
			}
			catch (IOException ex) {
				record("no response");
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		void checkOutcomes() {
			assertTrue(runs() <= 1, "runs " + runs() + " of " + this.outcomes);
			if (this.outcomes.contains("answered")) {
				assertEquals(runs(), 1, this.outcomes.toString());
			}
			assertTrue(!this.outcomes.contains("none") && !this.outcomes.contains("false not-run"),
					this.outcomes.toString());
		}

		private synchronized void record(String outcome) {
			this.outcomes.add((outcome.equals("not-run") && runs() > 0) ? "false not-run" : outcome);
		}

	}

}
