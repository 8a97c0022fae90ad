package io.masticlane.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class DownloadMemoryTests {

	private static final int LIMIT_BYTES = 10_000_000;

	private static final int BODY_BYTES = 500_000;

	private MessageMemory memory;

	private DownloadMemory downloads;

	@BeforeMethod
	public void createMemory() {
		this.memory = new MessageMemory(LIMIT_BYTES);
		this.downloads = this.memory.downloads();
	}

	/**
	 * Guards against memory that counts twice, or is lost, when a response breaks off and
	 * another server sends it again.
	 */
	@Test
	public void aBodyThatIsDiscardedLeavesItsReservationToTheNextAttempt() {
		Reservation reservation = this.downloads.reserve("a", 600_000).orElseThrow();
		MessageBody brokenOff = reservation.newBody(DownloadMemoryTests::failEvicted, BODY_BYTES);
		append(brokenOff, 300_000);
		assertEquals(this.downloads.usedBytes() + this.downloads.unusedBytes(), BODY_BYTES);
		brokenOff.discard();
		assertEquals(this.downloads.unusedBytes(), BODY_BYTES);
		ByteBuf content = append(reservation.newBody(DownloadMemoryTests::failEvicted, BODY_BYTES), BODY_BYTES)
			.complete();
		reservation.close();
		reservation.close();
		assertEquals(this.downloads.usedBytes(), BODY_BYTES);
		assertEquals(this.downloads.unusedBytes(), 0);
		content.release();
		assertEquals(this.downloads.usedBytes(), 0);
		assertEquals(this.memory.usedBytes(), 0);
		assertEquals(this.downloads.freedBytes(), 600_000);
	}

	/**
	 * Guards against downloads that take the memory of small messages, and against other
	 * messages that take what is reserved.
	 */
	@Test
	public void downloadsAndOtherMessagesKeepTheirParts() {
		List<Reservation> reservations = reserveAll("a");
		MessageBody other = this.memory.newBody(DownloadMemoryTests::failEvicted);
		append(other, (int) (LIMIT_BYTES * (1 - DownloadMemory.FRACTION)) - 64 * 1024);
		while (other.append(Unpooled.wrappedBuffer(new byte[64 * 1024]))) {
			assertTrue(this.memory.usedBytes() <= LIMIT_BYTES);
		}
		reservations.forEach((each) -> append(each.newBody(DownloadMemoryTests::failEvicted, -1), BODY_BYTES));
	}

	/**
	 * Guards against an organisation whose slow downloads keep all others out.
	 */
	@Test
	public void oneOrganisationLeavesMemoryToOthers() {
		this.downloads.shared(true);
		int first = reserveAll("a").size();
		int second = reserveAll("b").size();
		assertTrue(first <= LIMIT_BYTES * DownloadMemory.FRACTION * 2 / 3 / BODY_BYTES, first + " reservations");
		assertTrue(second >= 2, second + " reservations");
		assertTrue(this.downloads.refusedForOrganisation() > 0);
	}

	/**
	 * Guards against a response of 4 GB that takes the memory of other downloads.
	 */
	@Test
	public void aBodyThatFarExceedsItsReservationMakesRoomForOthers() {
		AtomicInteger evicted = new AtomicInteger();
		MessageBody endless = this.downloads.reserve("a", BODY_BYTES)
			.orElseThrow()
			.newBody(evicted::incrementAndGet, -1);
		append(endless, 6_500_000);
		Reservation other = this.downloads.reserve("b", BODY_BYTES).orElseThrow();
		append(other.newBody(DownloadMemoryTests::failEvicted, BODY_BYTES), BODY_BYTES);
		assertEquals(evicted.get(), 1);
	}

	/**
	 * Guards against reservations by the mean, which half of the bodies exceed, and
	 * against reservations by a few very large bodies.
	 */
	@Test
	public void theEstimateIsAboveTheMeanAndIgnoresRareSizes() {
		SizeEstimator estimator = new SizeEstimator();
		assertEquals(estimator.estimateBytes(), SizeEstimator.FIRST_ESTIMATE_BYTES);
		assertTrue(this.downloads.reserve("a", 1L << 32).isPresent(), "a route with huge responses is never served");
		Random random = new Random(1);
		for (int each = 0; each < 1_000; each++) {
			estimator.record((each % 50 == 0) ? 20_000_000 : 90_000 + random.nextInt(450_000));
			long estimate = estimator.estimateBytes();
			assertTrue(each < 100 || estimate > 350_000 && estimate < 480_000, "estimate " + estimate);
		}
	}

	private List<Reservation> reserveAll(String organisation) {
		List<Reservation> reservations = new ArrayList<>();
		Optional<Reservation> next = this.downloads.reserve(organisation, BODY_BYTES);
		while (next.isPresent()) {
			reservations.add(next.get());
			next = this.downloads.reserve(organisation, BODY_BYTES);
		}
		return reservations;
	}

	private static void failEvicted() {
		throw new AssertionError("a body was evicted");
	}

	private static MessageBody append(MessageBody body, int bytes) {
		for (int remaining = bytes; remaining > 0; remaining -= 16 * 1024) {
			assertTrue(body.append(Unpooled.wrappedBuffer(new byte[Math.min(remaining, 16 * 1024)])));
		}
		return body;
	}

}
