package io.masticlane.caller;

import java.util.Random;

import io.masticlane.memory.MessageBody;
import io.masticlane.memory.MessageMemory;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class SegmentedWritesTests {

	/**
	 * Guards against slow readers that hold the memory of a whole body until its last
	 * byte, and against bodies that change on the way.
	 */
	@Test
	public void theMemoryOfEachSegmentIsFreeOnceItIsWritten() {
		MessageMemory memory = new MessageMemory(1_000_000);
		byte[] expected = new byte[500_000];
		new Random(1).nextBytes(expected);
		MessageBody body = memory.newBody(() -> {
		});
		assertTrue(body.append(Unpooled.wrappedBuffer(expected)));
		EmbeddedChannel channel = new EmbeddedChannel(new SegmentedWrites(() -> true));
		channel
			.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body.complete()));
		ByteBuf written = Unpooled.buffer();
		long used = memory.usedBytes();
		for (HttpObject part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
			if (part instanceof HttpContent content) {
				written.writeBytes(content.content());
				content.release();
				assertTrue(memory.usedBytes() < used, "still used: " + used);
				used = memory.usedBytes();
			}
		}
		assertEquals(written, Unpooled.wrappedBuffer(expected));
		assertEquals(used, 0);
	}

}
