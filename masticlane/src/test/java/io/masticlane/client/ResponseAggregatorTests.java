package io.masticlane.client;

import java.nio.charset.StandardCharsets;

import io.masticlane.memory.MessageMemory;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

public class ResponseAggregatorTests {

	private static final int MEMORY_BYTES = 256 * 1024;

	private static final int SENT_BYTES = 8 * MEMORY_BYTES;

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private MessageMemory memory;

	private boolean expecting;

	private EmbeddedChannel channel;

	@BeforeMethod
	public void createChannel() {
		this.memory = new MessageMemory(MEMORY_BYTES);
		this.expecting = true;
		this.channel = new EmbeddedChannel(new ResponseDecoder(false, () -> true, (data) -> {
		}), new ResponseAggregator(this.memory, () -> this.expecting));
	}

	@Test
	public void aResponseIsPassedOnWithItsWholeBody() {
		read("HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
		FullHttpResponse response = this.channel.readInbound();
		assertTrue(response.decoderResult().isSuccess());
		assertEquals(response.content().toString(StandardCharsets.US_ASCII), "abcde");
		response.release();
		assertEquals(this.memory.usedBytes(), 0);
	}

	@DataProvider
	public Object[][] endlessResponses() {
		return new Object[][] { { "", "x" }, { "HTTP/1.1 200 OK\r\nName: ", "x" },
				{ "HTTP/1.1 200 OK\r\n", "Name: value\r\n" }, { "", "HTTP/1.1 100 Continue\r\n\r\n" },
				{ "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", "x" }, { "HTTP/1.1 200 OK\r\n\r\n", "x" },
				{ CHUNKED + "7fffffff\r\n", "x" }, { CHUNKED, "1\r\nx\r\n" },
				{ CHUNKED, "400\r\n" + "x".repeat(1024) + "\r\n" }, { CHUNKED + "1;", "x" },
				{ CHUNKED + "0\r\n", "Name: value\r\n" } };
	}

	/**
	 * Guards against a server that sends bytes without end: the response fails, and what
	 * is kept of it stays small.
	 * @param beginning the beginning of the response
	 * @param rest what is repeated after it
	 */
	@Test(dataProvider = "endlessResponses")
	public void anEndlessResponseFailsOnceAndOccupiesLittleMemory(String beginning, String rest) {
		read(beginning);
		String block = rest.repeat(Math.max(1, 4_096 / rest.length()));
		for (int sent = 0; sent < SENT_BYTES; sent += block.length()) {
			read(block);
			assertTrue(this.memory.usedBytes() <= MEMORY_BYTES);
		}
		FullHttpResponse response = this.channel.readInbound();
		assertTrue(response.decoderResult().isFailure());
		assertNull(this.channel.readInbound());
		assertEquals(this.memory.usedBytes(), 0);
	}

	/**
	 * Guards against the status of a copy that is cut off within its head, before a
	 * response whose header names the request.
	 */
	@Test
	public void theBeginningOfACopyDoesNotChangeTheStatusOfTheResponseBehindIt() {
		String copy = "HTTP/1.1 200 OK\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT\r\nRequest-Id: earlier\r\n"
				+ "Content-Length: 4\r\n\r\nbody";
		for (int bytes = 1; bytes < copy.length(); bytes++) {
			createChannel();
			read(copy.substring(0, bytes) + "HTTP/1.1 404 Not Found\r\nRequest-Id: own\r\nContent-Length: 0\r\n\r\n");
			FullHttpResponse response = this.channel.readInbound();
			assertFalse(
					response != null && response.decoderResult().isSuccess() && response.status().code() == 200
							&& response.headers().get("Request-Id").equals("own"),
					"behind " + bytes + " bytes of the copy: " + response);
		}
	}

	@Test
	public void bytesOnAnIdleConnectionCloseItAtTheHead() {
		this.expecting = false;
		read("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
		assertFalse(this.channel.isOpen());
		assertNull(this.channel.readInbound());
	}

	@Test
	public void aConnectionThatIsClosedReleasesTheMemoryOfItsBody() {
		read("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + "x".repeat(50_000));
		assertTrue(this.memory.usedBytes() >= 50_000);
		this.channel.close();
		assertEquals(this.memory.usedBytes(), 0);
	}

	private void read(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

}
