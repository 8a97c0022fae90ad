package io.masticlane.entry;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;

import io.masticlane.configuration.Configuration;
import io.masticlane.configuration.Organisation;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class FleetLimitsTests {

	private static final String ORGANISATION = "org-1";

	private static final double RATE = 70;

	private static final double BURST = 35;

	private static final double REQUESTS_PER_SECOND_PER_CALLER = 5 * RATE / 5;

	private final Queue<Admitted> admitted = new ConcurrentLinkedQueue<>();

	private final AtomicBoolean ended = new AtomicBoolean();

	private Fleet fleet;

	@BeforeClass
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(7, 12, 7, 2, FleetLimitsTests::withTestedLimit);
	}

	@AfterClass(alwaysRun = true)
	public void stopFleet() {
		this.ended.set(true);
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	public void anOrganisationNeverExceedsItsRateAndBurstDuringFaults() throws Exception {
		List<Thread> callers = IntStream.of(0, 1, 1, 2, 3).mapToObj(this::caller).toList();
		awaitAdmitted(2 * RATE);
		this.fleet.entry(1).kill();
		awaitAdmitted(3 * RATE);
		this.fleet.entry(1).start();
		awaitAdmitted(3 * RATE);
		this.fleet.entry(2).pause();
		awaitAdmitted(8 * RATE);
		this.fleet.entry(2).resume();
		awaitAdmitted(3 * RATE);
		this.fleet.partition(0, List.of(1, 2, 3, 4, 5, 6));
		awaitAdmitted(5 * RATE);
		IntStream.range(0, 7).forEach((index) -> this.fleet.peerProxy(index).clearFaults());
		this.fleet.storeProxies().forEach((proxy) -> proxy.disconnect());
		awaitAdmitted(10 * RATE);
		this.fleet.storeProxies().forEach((proxy) -> proxy.clearFaults());
		awaitAdmitted(5 * RATE);
		this.ended.set(true);
		for (Thread caller : callers) {
			caller.join();
		}
		assertNoWindowExceeds(List.copyOf(this.admitted));
	}

	private void awaitAdmitted(double more) {
		int before = this.admitted.size();
		Await.until(more + " more requests are admitted", () -> this.admitted.size() >= before + more);
	}

	private Thread caller(int entryHost) {
		Thread thread = new Thread(() -> {
			while (!this.ended.get()) {
				long sentAt = System.nanoTime();
				try {
					if (this.fleet.send(entryHost, Fleet.Call.get("/ledger/balance").withKeyOf(ORGANISATION))
						.statusCode() == 200) {
						this.admitted.add(new Admitted(sentAt, System.nanoTime()));
					}
					Thread.sleep((long) (1_000 / REQUESTS_PER_SECOND_PER_CALLER));
				}
				catch (IOException ex) {
					pause();
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		}, "caller-" + entryHost);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	// A request is admitted at some time between its sending and its response, so each
	// window counts only the requests that are sent and answered within it.
	private static void assertNoWindowExceeds(List<Admitted> all) {
		List<Admitted> byResponse = all.stream().sorted(Comparator.comparing(Admitted::respondedAt)).toList();
		all.forEach((first) -> {
			int count = 0;
			for (Admitted each : byResponse) {
				if (each.sentAt() >= first.sentAt()) {
					count++;
					double seconds = (each.respondedAt() - first.sentAt()) / 1e9;
					assertTrue(count <= RATE * seconds + BURST, count + " admitted within " + seconds + " s");
				}
			}
		});
	}

	private static Configuration withTestedLimit(Configuration configuration) {
		return configuration.withOrganisations(configuration.organisations()
			.stream()
			.map((each) -> each.name().equals(ORGANISATION) ? new Organisation(each.name(), RATE, BURST, each.keys())
					: each)
			.toList());
	}

	private static void pause() {
		try {
			Thread.sleep(100);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Admitted(long sentAt, long respondedAt) {
	}

}
