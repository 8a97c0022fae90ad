package io.masticlane.placement;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class LocalShareTests {

	private static final long CAP_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

	@Test
	public void theShareStartsByTheRegionsPartOfTheSlots() {
		LocalShare share = new LocalShare();
		share.update(18, 252, 3, 0, 0, 0);
		assertTrue(share.share() > 0.2 && share.share() < 0.35, "share " + share.share());
	}

	@Test
	public void aLoadThatJumpsMovesFewObjectsWithinTheWindowOfTheCap() {
		LocalShare share = new LocalShare();
		share.update(100, 252, 3, 0.6, 0.6, 0);
		long before = held(share);
		LongStream.rangeClosed(1, 8).forEach((step) -> share.update(100, 252, 3, 5, 5, step * CAP_WINDOW_NANOS / 8));
		assertTrue(before - held(share) <= 0.08 * 10_000, "moved " + (before - held(share)));
	}

	@Test
	public void aShareIsNotKeptFromTheFirstServersHeardOf() {
		LocalShare share = new LocalShare();
		share.update(18, 36, 2, 0, 0, 0);
		share.update(18, 252, 3, 0, 0, TimeUnit.MILLISECONDS.toNanos(250));
		assertTrue(share.share() > 0.2 && share.share() < 0.35, "share " + share.share());
	}

	@Test
	public void serversThatJoinUnderTrafficMoveFewObjectsWithinTheWindowOfTheCap() {
		LocalShare share = new LocalShare();
		share.update(36, 252, 3, 0.7, 0.7, 0);
		double before = share.share();
		LongStream.rangeClosed(1, 8)
			.forEach((step) -> share.update(126, 342, 3, 0.7, 0.7, step * CAP_WINDOW_NANOS / 8));
		assertTrue(share.share() > before && share.share() - before <= 0.08, "moved " + (share.share() - before));
	}

	@Test
	public void nothingIsLearntWithoutTraffic() {
		LocalShare share = new LocalShare();
		share.update(18, 252, 3, 0, 0, 0);
		double before = share.share();
		share.update(18, 252, 3, 0, 0, TimeUnit.SECONDS.toNanos(13));
		assertEquals(share.share(), before);
	}

	@Test
	public void anObjectThatIsServedByTheRegionStaysWhenTheShareGrows() {
		LocalShare share = new LocalShare();
		share.update(50, 252, 3, 0.6, 0.6, 0);
		long[] held = LongStream.range(0, 1_000)
			.map((object) -> Rendezvous.hash("o" + object))
			.filter(share::holds)
			.toArray();
		share.update(50, 252, 3, 0.3, 0.3, TimeUnit.SECONDS.toNanos(5));
		assertEquals(LongStream.of(held).filter(share::holds).count(), held.length);
	}

	private static long held(LocalShare share) {
		return IntStream.range(0, 10_000).filter((object) -> share.holds(Rendezvous.hash("o" + object))).count();
	}

}
