package io.masticlane.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.masticlane.admission.ReturnTimes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Factory;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * 300 callers that read downloads of 500 kB at 40 kB/s from a gateway with a heap of 96
 * MB, beside small messages, without a network.
 */
public class SlowReadersTests {

	private static final int LIMIT_BYTES = 46_000_000;

	private static final int DOWNLOADS = 300;

	private static final int READ_BYTES_PER_MILLI = 40;

	private static final long PROCESSING_MILLIS = 1_791;

	private static final long CALLER_TIMEOUT_MILLIS = 11_157;

	private static final int STEP_MILLIS = 20;

	private final MessageMemory memory = new MessageMemory(LIMIT_BYTES);

	private final Random random = new Random(1);

	private final ReturnTimes returnTimes = new ReturnTimes(this.random::nextDouble, 0);

	private final SizeEstimator sizes = new SizeEstimator();

	private final Map<Long, Integer> returns = new TreeMap<>();

	private final int smallestBytes;

	private final int largestBytes;

	private int refused;

	@Factory(dataProvider = "sizes")
	public SlowReadersTests(int smallestBytes, int largestBytes) {
		this.smallestBytes = smallestBytes;
		this.largestBytes = largestBytes;
	}

	@DataProvider
	public static Object[][] sizes() {
		return new Object[][] { { 500_000, 500_000 }, { 90_000, 540_000 } };
	}

	/**
	 * Guards against small messages that are refused because of downloads, and against
	 * downloads that are refused after they have run, or that return all at once.
	 */
	@Test
	public void smallMessagesAreServedAndRefusedDownloadsReturnLater() {
		List<Download> waiting = new ArrayList<>(IntStream.range(0, DOWNLOADS).mapToObj(Download::new).toList());
		Deque<ByteBuf> small = new ArrayDeque<>();
		for (long now = 0; !waiting.isEmpty(); now += STEP_MILLIS) {
			assertTrue(now < 60_000, waiting.size() + " wait");
			MessageBody body = this.memory.newBody(() -> {
				throw new AssertionError("a small message was evicted");
			});
			assertTrue(body.append(Unpooled.wrappedBuffer(new byte[40_000])), "a small message was refused at " + now);
			small.add(body.complete());
			if (small.size() > 3_000 / STEP_MILLIS) {
				small.remove().release();
			}
			this.returnTimes.observe(this.memory.downloads().freedBytes(), TimeUnit.MILLISECONDS.toNanos(now));
			long current = now;
			waiting.forEach((each) -> each.proceed(current));
			waiting.removeIf((each) -> each.read);
		}
		small.forEach(ByteBuf::release);
		assertTrue(this.refused > DOWNLOADS / 2, this.refused + " refused");
		int together = this.returns.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
		assertTrue(together < DOWNLOADS / 5, together + " return within 100 ms");
		assertEquals(this.memory.usedBytes() + this.memory.downloads().unusedBytes(), 0);
	}

	private final class Download {

		private final String organisation;

		private final int bytes = SlowReadersTests.this.smallestBytes + SlowReadersTests.this.random
			.nextInt(SlowReadersTests.this.largestBytes - SlowReadersTests.this.smallestBytes + 1);

		private Optional<Reservation> reservation = Optional.empty();

		private final Deque<ByteBuf> unread = new ArrayDeque<>();

		private long nextAt;

		private boolean read;

		private Download(int number) {
			this.organisation = "o-" + number % 20;
		}

		private void proceed(long now) {
			if (now < this.nextAt) {
				return;
			}
			if (this.reservation.isEmpty()) {
				send(now);
			}
			else if (this.unread.isEmpty()) {
				MessageBody body = this.reservation.get().newBody(() -> {
					throw new AssertionError("a download was evicted after it had run");
				}, this.bytes);
				assertTrue(body.append(Unpooled.wrappedBuffer(new byte[this.bytes])), "a download failed at " + now);
				CompositeByteBuf content = (CompositeByteBuf) body.complete();
				SlowReadersTests.this.sizes.record(this.reservation.get().usedBytes());
				this.reservation.get().close();
				content.forEach((segment) -> this.unread.add(segment.retain()));
				content.release();
				this.nextAt = now + this.unread.peek().readableBytes() / READ_BYTES_PER_MILLI;
			}
			else {
				this.unread.remove().release();
				this.read = this.unread.isEmpty();
				this.nextAt = now + (this.read ? 0 : this.unread.peek().readableBytes() / READ_BYTES_PER_MILLI);
			}
		}

		private void send(long now) {
			long bytes = SlowReadersTests.this.sizes.estimateBytes();
			this.reservation = SlowReadersTests.this.memory.downloads().reserve(this.organisation, bytes);
			this.nextAt = now + PROCESSING_MILLIS;
			if (this.reservation.isEmpty()) {
				SlowReadersTests.this.refused++;
				double delay = SlowReadersTests.this.returnTimes.retryAfterMillis(bytes, CALLER_TIMEOUT_MILLIS,
						TimeUnit.MILLISECONDS.toNanos(now));
				assertTrue(delay >= 150 && delay <= CALLER_TIMEOUT_MILLIS / 3, "return after " + delay + " ms");
				this.nextAt = now + (long) delay;
				SlowReadersTests.this.returns.merge(this.nextAt / 100, 1, Integer::sum);
			}
		}

	}

}
