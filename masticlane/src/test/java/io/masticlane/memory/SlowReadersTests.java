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
import io.netty.buffer.Unpooled;
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

	private static final int BODY_BYTES = 500_000;

	private static final long READ_MILLIS = 12_500;

	private static final long PROCESSING_MILLIS = 1_791;

	private static final long CALLER_TIMEOUT_MILLIS = 11_157;

	private static final int STEP_MILLIS = 20;

	private final MessageMemory memory = new MessageMemory(LIMIT_BYTES);

	private final Random random = new Random(1);

	private final ReturnTimes returnTimes = new ReturnTimes(this.random::nextDouble, 0);

	private final SizeEstimator sizes = new SizeEstimator();

	private final Map<Long, Integer> returns = new TreeMap<>();

	private int refused;

	private int delivered;

	/**
	 * Guards against small messages that are refused because of downloads, and against
	 * downloads that are refused after they have run, or that return all at once.
	 */
	@Test
	public void smallMessagesAreServedAndRefusedDownloadsReturnLater() {
		List<Download> waiting = new ArrayList<>(
				IntStream.range(0, DOWNLOADS).mapToObj((each) -> new Download("o-" + each % 20)).toList());
		Deque<ByteBuf> small = new ArrayDeque<>();
		for (long now = 0; !waiting.isEmpty(); now += STEP_MILLIS) {
			assertTrue(now < 120_000, this.delivered + " delivered");
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
		assertEquals(this.delivered, DOWNLOADS);
		assertTrue(this.refused > DOWNLOADS / 2, this.refused + " refused");
		int together = this.returns.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
		assertTrue(together < DOWNLOADS / 5, together + " return within 100 ms");
		assertEquals(this.memory.usedBytes() + this.memory.downloads().unusedBytes(), 0);
	}

	private final class Download {

		private final String organisation;

		private Optional<Reservation> reservation = Optional.empty();

		private ByteBuf content;

		private long nextAt;

		private boolean read;

		private Download(String organisation) {
			this.organisation = organisation;
		}

		private void proceed(long now) {
			if (now < this.nextAt) {
				return;
			}
			if (this.reservation.isEmpty()) {
				send(now);
			}
			else if (this.content == null) {
				MessageBody body = this.reservation.get().newBody(() -> {
					throw new AssertionError("a download was evicted after it had run");
				}, BODY_BYTES);
				assertTrue(body.append(Unpooled.wrappedBuffer(new byte[BODY_BYTES])), "a download failed at " + now);
				this.content = body.complete();
				SlowReadersTests.this.sizes.record(this.reservation.get().usedBytes());
				this.reservation.get().close();
				this.nextAt = now + READ_MILLIS;
			}
			else {
				this.content.release();
				this.read = true;
				SlowReadersTests.this.delivered++;
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
