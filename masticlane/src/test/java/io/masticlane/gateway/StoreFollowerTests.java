package io.masticlane.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.masticlane.fixture.Await;
import io.masticlane.store.SharedState;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class StoreFollowerTests {

	private EventLoop loop;

	private Recorder recorder;

	private ScriptedStore store;

	@BeforeMethod
	public void start() {
		this.loop = new DefaultEventLoop();
		this.recorder = new Recorder();
		this.store = new ScriptedStore();
	}

	@AfterMethod(alwaysRun = true)
	public void end() {
		this.loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	@Test
	public void anItemThatTheListenerFailsOnLosesNeitherItsBatchNorTheNextOne() {
		this.store.batches.add(List.of(item("odd"), item("good")));
		this.store.batches.add(List.of(item("next")));
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 20);
		this.loop.execute(follower::start);
		Await.until("the next batch is received", () -> this.recorder.changed.contains("next"));
		assertEquals(this.recorder.changed, List.of("good", "next"));
		assertEquals(this.recorder.failed, List.of("odd"));
	}

	@Test
	public void aFailedSnapshotIsReadAgain() {
		this.recorder.failSnapshots.set(1);
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 20);
		this.loop.execute(follower::start);
		Await.until("a snapshot is received", () -> this.recorder.snapshots.get() == 1);
	}

	/**
	 * Guards against a host that reads the store although its relays do, and against one
	 * that learns nothing when they stop.
	 */
	@Test
	public void changesFromARelayReplaceOwnReadsUntilTheyStop() throws InterruptedException {
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 200);
		this.loop.execute(follower::start);
		Await.until("a first read", () -> this.store.position == 1);
		for (int position = 2; position < 12; position++) {
			int next = position;
			this.loop.execute(() -> follower
				.apply(new StoreFollower.Batch(next - 1, next, List.of(item("relayed-" + next)), false)));
			Thread.sleep(60);
		}
		assertEquals(this.store.position, 1);
		Await.until("own reads follow", () -> this.store.position > 1);
		assertEquals(this.recorder.changed.size(), 10);
	}

	/**
	 * Guards against changes that are skipped when a relay's message was lost.
	 */
	@Test
	public void changesFromARelayAreNotAppliedAfterAGap() throws Exception {
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 5_000);
		this.loop.execute(follower::start);
		Await.until("a first read", () -> this.store.position == 1);
		assertFalse(this.loop.submit(() -> follower.apply(new StoreFollower.Batch(4, 6, List.of(item("late")), false)))
			.get());
		assertTrue(this.loop.submit(() -> follower.apply(new StoreFollower.Batch(0, 6, List.of(item("next")), false)))
			.get());
		assertEquals(this.recorder.changed, List.of("next"));
		assertEquals(follower.position(), 6);
	}

	/**
	 * Guards against a change that a restored store confirmed at a position which had
	 * been read before.
	 */
	@Test
	public void allItemsAreReadAgainAfterAnInterruption() {
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 20);
		this.loop.execute(follower::start);
		Await.until("a first read", () -> this.store.position > 2);
		this.store.session = new SharedState.Session(1, OptionalLong.empty(), "timeout");
		Await.until("a second snapshot is received", () -> this.recorder.snapshots.get() == 2);
		assertEquals(this.recorder.last.reason(), StoreFollower.SnapshotReason.INTERRUPTED);
		assertFalse(this.recorder.last.restored());
	}

	/**
	 * Guards against a follower that pauses although a response told it of a restored
	 * store.
	 */
	@Test
	public void allItemsAreReadAtOnceInALaterEra() {
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 1_000);
		this.store.eraAfterNextPage = 1;
		this.loop.execute(follower::start);
		Await.until("a first read", () -> this.store.position == 1);
		this.store.eraAfterNextRead = 2;
		Await.until("a second read", () -> this.store.position > 1);
		long readAt = System.nanoTime();
		Await.until("a second snapshot is received", () -> this.recorder.snapshots.get() == 2);
		assertTrue(System.nanoTime() - readAt < 500_000_000, "the snapshot came too late");
		assertTrue(this.recorder.last.restored());
	}

	/**
	 * Guards against a follower that waits at its position until the restored store has
	 * reached it again, and against servers that are dropped since the copy lacks them.
	 */
	@Test
	public void allItemsAreReadAgainWhenThePositionOfTheStoreReverts() {
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 20);
		this.loop.execute(follower::start);
		Await.until("some reads", () -> this.store.position > 10);
		this.loop.execute(() -> this.store.position = 3);
		Await.until("a second snapshot is received", () -> this.recorder.snapshots.get() == 2);
		assertEquals(this.recorder.last.reason(), StoreFollower.SnapshotReason.REVERTED);
		assertTrue(this.recorder.last.restored());
		Await.until("reads go on at the lower position", () -> follower.position() > 4);
	}

	/**
	 * Guards against older values that replace newer ones which a relay sent during the
	 * read.
	 */
	@Test
	public void changesThatARelayOvertookAreNotDelivered() throws Exception {
		this.store.held = new CompletableFuture<>();
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 20);
		this.loop.execute(follower::start);
		Await.until("a snapshot is received", () -> this.recorder.snapshots.get() == 1);
		CompletableFuture<SharedState.Changes> read = this.store.held;
		this.store.held = null;
		this.loop.submit(() -> follower.apply(new StoreFollower.Batch(0, 6, List.of(item("newer")), false))).get();
		this.loop.submit(() -> read.complete(new SharedState.Changes(List.of(item("older")), 4))).get();
		assertEquals(this.recorder.changed, List.of("newer"));
		assertEquals(follower.position(), 6);
	}

	/**
	 * Guards against changes of a relay that fill the position of a restored store.
	 */
	@Test
	public void changesFromARelayAreNotAppliedAfterAnInterruption() throws Exception {
		StoreFollower follower = new StoreFollower(this.loop, this.store, this.recorder, 5_000);
		this.loop.execute(follower::start);
		Await.until("a first read", () -> this.store.position == 1);
		this.store.session = new SharedState.Session(1, OptionalLong.empty(), "timeout");
		assertFalse(this.loop.submit(() -> follower.apply(new StoreFollower.Batch(1, 2, List.of(item("next")), false)))
			.get());
	}

	private static SharedState.Item item(String key) {
		return new SharedState.Item(key, Optional.of(new byte[0]));
	}

	private static final class Recorder implements StoreFollower.Listener {

		private final List<String> changed = new CopyOnWriteArrayList<>();

		private final List<String> failed = new CopyOnWriteArrayList<>();

		private final AtomicInteger failSnapshots = new AtomicInteger();

		private final AtomicInteger snapshots = new AtomicInteger();

		private volatile StoreFollower.Snapshot last;

		@Override
		public void itemsReplaced(StoreFollower.Snapshot snapshot) {
			if (this.failSnapshots.getAndDecrement() > 0) {
				throw new IllegalStateException("unexpected snapshot");
			}
			this.last = snapshot;
			this.snapshots.incrementAndGet();
		}

		@Override
		public void itemChanged(SharedState.Item item) {
			if (item.key().equals("odd")) {
				throw new IllegalStateException("unexpected item");
			}
			this.changed.add(item.key());
		}

		@Override
		public void positionReverted(long position, long former) {
		}

		@Override
		public void itemFailed(String key, RuntimeException reason) {
			this.failed.add(key);
		}

		@Override
		public void storeLost(String reason) {
		}

		@Override
		public void storeRecovered() {
		}

		@Override
		public void callCompleted(boolean succeeded) {
		}

	}

	private static final class ScriptedStore implements SharedState {

		private final List<List<Item>> batches = new ArrayList<>();

		private volatile int position;

		private volatile long eraAfterNextPage;

		private volatile long eraAfterNextRead;

		private volatile CompletableFuture<Changes> held;

		private volatile Session session = new Session(0, OptionalLong.empty(), "");

		@Override
		public Session session() {
			return this.session;
		}

		@Override
		public CompletableFuture<Page> page(String prefix, String after) {
			if (this.eraAfterNextPage > 0) {
				this.session = new Session(0, OptionalLong.of(this.eraAfterNextPage), "");
				this.eraAfterNextPage = 0;
			}
			return CompletableFuture.completedFuture(new Page(List.of(), false, this.position));
		}

		@Override
		public CompletableFuture<Changes> changes(String prefix, long from, long waitMillis) {
			if (this.held != null) {
				return this.held;
			}
			List<Item> items = (this.position < this.batches.size()) ? this.batches.get(this.position) : List.of();
			this.position++;
			if (this.eraAfterNextRead > 0) {
				this.session = new Session(1, OptionalLong.of(this.eraAfterNextRead), "era ended");
			}
			return CompletableFuture.completedFuture(new Changes(items, this.position));
		}

		@Override
		public CompletableFuture<Boolean> put(String key, byte[] value, long lease) {
			return CompletableFuture.completedFuture(true);
		}

		@Override
		public CompletableFuture<Long> grantLease(long seconds) {
			return CompletableFuture.completedFuture(1L);
		}

		@Override
		public CompletableFuture<Boolean> renewLease(long lease) {
			return CompletableFuture.completedFuture(true);
		}

		@Override
		public CompletableFuture<Void> revokeLease(long lease) {
			return CompletableFuture.completedFuture(null);
		}

	}

}
