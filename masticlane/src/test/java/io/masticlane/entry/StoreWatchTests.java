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

	private final List<Long> written = new CopyOnWriteArrayList<>();

	private final List<Event> events = new CopyOnWriteArrayList<>();

	private final AtomicLong settled = new AtomicLong();

	private StoreStandIn store;

	private FaultProxy proxy;

	private Store direct;

	private StoreWatch watch;

	@BeforeMethod
	public void start() throws IOException {
		this.written.clear();
		this.events.clear();
		this.settled.set(0);
		this.store = new StoreStandIn(new InetSocketAddress("127.0.0.1", 0));
		this.proxy = new FaultProxy(new InetSocketAddress("127.0.0.1", 0), this.store.address());
		this.direct = client(this.store.address());
		this.watch = new StoreWatch(client(this.proxy.address()), KEY, () -> WatchRole.WATCHING, this.settled::get,
				new StoreWatch.Listener() {
					@Override
					public void answered(long askedAt, boolean newer) {
					}

					@Override
					public void read(Store.Entry entry, long askedAt) {
						written(entry);
					}

					@Override
					public void written(Store.Entry entry) {
						StoreWatchTests.this.written.add(entry.revision());
						StoreWatchTests.this.settled.accumulateAndGet(entry.revision(), Math::max);
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
	public void aWriteIsHeardByTheWatchWithoutAPoll() {
		long revision = write(Store.ABSENT);
		Await.until("the write is heard", () -> this.written.equals(List.of(revision)));
	}

	@Test
	public void aWriteIsHeardAlthoughTheWatchWentSilentAndTheWatchIsReplaced() {
		this.proxy.silenceOpenConnections();
		long revision = write(Store.ABSENT);
		Await.until("the write is heard by a poll and the silent watch is replaced", () -> {
			this.watch.tick();
			return this.written.contains(revision) && this.store.watches() == 2;
		});
		assertEquals(this.events.stream().filter(Event.STORE_WATCH_SILENT::equals).count(), 1);
		long next = write(revision);
		Await.until("the next write is heard by the new watch", () -> this.written.contains(next));
	}

	@Test
	public void aStoreThatLostItsDataIsToldOnceAndNothingOlderIsOffered() {
		this.settled.set(40);
		this.store.loseData();
		write(Store.ABSENT);
		Await.until("the loss is told", () -> {
			this.watch.tick();
			return this.events.contains(Event.STORE_REVERTED);
		});
		this.watch.tick();
		assertEquals(this.events.stream().filter(Event.STORE_REVERTED::equals).count(), 1);
		assertFalse(this.written.contains(40L));
	}

	private long write(long expected) {
		return this.direct.compareAndSet(KEY, expected, new byte[] { 1 }, Store.NO_LEASE).join().revision();
	}

	private static Store client(InetSocketAddress address) {
		return new EtcdStore(address, Duration.ofSeconds(1), ForkJoinPool.commonPool());
	}

}
