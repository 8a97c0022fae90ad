package io.masticlane.memory;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class MessageMemoryTests {

	private static final int LIMIT_BYTES = 1024 * 1024;

	private MessageMemory memory;

	private List<String> evicted;

	@BeforeMethod
	public void createMemory() {
		this.memory = new MessageMemory(LIMIT_BYTES);
		this.evicted = new ArrayList<>();
	}

	@Test
	public void aBodyReadInPiecesOfAnySizeIsPassedOnUnchanged() {
		Random random = new Random(1);
		MessageBody body = body("any");
		ByteBuf expected = Unpooled.buffer();
		while (expected.readableBytes() < 300_000) {
			byte[] piece = new byte[random.nextInt((random.nextInt(10) == 0) ? 90_000 : 9)];
			random.nextBytes(piece);
			expected.writeBytes(piece);
			assertTrue(body.append(Unpooled.wrappedBuffer(piece)));
		}
		ByteBuf content = body.complete();
		assertTrue(ByteBufUtil.equals(content, expected));
		assertTrue(this.memory.usedBytes() < 2 * 300_000 + 2 * 90_000, "used " + this.memory.usedBytes());
		content.release();
		assertEquals(this.memory.usedBytes(), 0);
	}

	/**
	 * Guards against a few endless messages that take the memory of all others.
	 */
	@Test
	public void theLargestBodyIsEvictedInFavourOfASmallerOne() {
		MessageBody large = body("large");
		MessageBody larger = body("larger");
		fill(large, 400_000);
		fill(larger, 500_000);
		MessageBody small = body("small");
		fill(small, 200_000);
		assertEquals(this.evicted, List.of("larger"));
		assertEquals(large.length(), 400_000);
		assertEquals(larger.length(), 0);
	}

	@Test
	public void theLargestBodyIsDiscardedIfItNeedsMoreMemoryItself() {
		MessageBody large = body("large");
		while (large.append(Unpooled.wrappedBuffer(new byte[10_000]))) {
			assertTrue(this.memory.usedBytes() <= LIMIT_BYTES);
		}
		assertEquals(this.memory.usedBytes(), 0);
		assertEquals(this.evicted, List.of());
	}

	@Test
	public void aCompletedBodyOccupiesMemoryUntilItIsReleasedAndIsNotEvicted() {
		MessageBody first = body("first");
		fill(first, 900_000);
		ByteBuf content = first.complete();
		assertFalse(body("second").append(Unpooled.wrappedBuffer(new byte[200_000])));
		assertEquals(this.evicted, List.of());
		content.release();
		assertTrue(body("third").append(Unpooled.wrappedBuffer("short".getBytes(StandardCharsets.UTF_8))));
	}

	private MessageBody body(String name) {
		return this.memory.newBody(() -> this.evicted.add(name));
	}

	private static void fill(MessageBody body, int bytes) {
		int remaining = bytes;
		while (remaining > 0) {
			int piece = Math.min(remaining, 8_000);
			assertTrue(body.append(Unpooled.wrappedBuffer(new byte[piece])));
			remaining -= piece;
		}
	}

}
