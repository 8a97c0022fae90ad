package io.masticlane.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.atomic.AtomicLong;

import io.masticlane.demo.StoreStandIn;
import io.masticlane.event.Event;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.FaultProxy;
import io.masticlane.store.EtcdStore;
import io.masticlane.store.Store;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

public class StoreWatchTests {

	private static final String KEY = "masticlane/configuration";

	private final List<Long> receivedRevisions = new CopyOnWriteArrayList<>();

	private final List<Event> events = new CopyOnWriteArrayList<>();

	private final AtomicLong processedRevision = new AtomicLong();

	private StoreStandIn store;

	private FaultProxy proxy;

	private Store directStore;

	private StoreWatch watch;

	@BeforeMethod
	public void start() throws IOException {
		this.receivedRevisions.clear();
		this.events.clear();
		this.processedRevision.set(0);
		this.store = new StoreStandIn(new InetSocketAddress("127.0.0.1", 0));
		this.proxy = new FaultProxy(new InetSocketAddress("127.0.0.1", 0), this.store.address());
		this.directStore = client(this.store.address());
		this.watch = new StoreWatch(client(this.proxy.address()), KEY, () -> WatchRole.WATCHING,
				this.processedRevision::get, new StoreWatch.Listener() {
					@Override
					public void storeResponded(long requestedAt, boolean newRevision) {
					}

					@Override
					public void configurationRead(Store.Entry entry, long requestedAt) {
						configurationWritten(entry);
					}

					@Override
					public void configurationWritten(Store.Entry entry) {
						StoreWatchTests.this.receivedRevisions.add(entry.revision());
						StoreWatchTests.this.processedRevision.accumulateAndGet(entry.revision(), Math::max);
					}
				}, (event, arguments) -> this.events.add(event));
		Await.until("the watch is open", () -> {
			this.watch.tick();
			return this.store.watches() == 1;
		});
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.watch.close();
		this.proxy.close();
		this.store.close();
	}

	@Test
	public void theWatchDeliversAWriteWithoutAPoll() {
		long revision = write(Store.ABSENT);
		Await.until("the write is delivered", () -> this.receivedRevisions.equals(List.of(revision)));
	}

	@Test
	public void aPollFindsAWriteThatAnUnresponsiveWatchMissedAndTheWatchIsReplaced() {
		this.proxy.discardOnOpenConnections();
		long revision = write(Store.ABSENT);
		Await.until("a poll finds the write and the unresponsive watch is replaced", () -> {
			this.watch.tick();
			return this.receivedRevisions.contains(revision) && this.store.watches() == 2;
		});
		assertEquals(this.events.stream().filter(Event.STORE_WATCH_SILENT::equals).count(), 1);
		long next = write(revision);
		Await.until("the new watch delivers the next write", () -> this.receivedRevisions.contains(next));
	}

	@Test
	public void aStoreThatLostItsDataIsReportedOnceAndNoLowerRevisionIsDelivered() {
		this.processedRevision.set(40);
		this.store.loseData();
		write(Store.ABSENT);
		Await.until("the loss is reported", () -> {
			this.watch.tick();
			return this.events.contains(Event.STORE_REVERTED);
		});
		this.watch.tick();
		assertEquals(this.events.stream().filter(Event.STORE_REVERTED::equals).count(), 1);
		assertFalse(this.receivedRevisions.contains(40L));
	}

	private long write(long expected) {
		return this.directStore.compareAndSet(KEY, expected, new byte[] { 1 }, Store.NO_LEASE).join().revision();
	}

	private static Store client(InetSocketAddress address) {
		return new EtcdStore(address, Duration.ofSeconds(1), ForkJoinPool.commonPool());
	}

}
