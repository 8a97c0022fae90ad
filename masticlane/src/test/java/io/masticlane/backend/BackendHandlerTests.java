package io.masticlane.backend;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.masticlane.fixture.ResponseHeads;
import io.masticlane.steering.AttemptResult;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class BackendHandlerTests {

	@DataProvider
	public Object[][] framings() {
		return new Object[][] { { "Content-Length: 5\r\n" }, { "Content-Length: 0\r\n" },
				{ "Transfer-Encoding: chunked\r\n" }, { "" } };
	}

	/**
	 * Guards against a response whose head breaks off and which callers get as a complete
	 * one. The head is broken off at each of its bytes, on a new and on a reused
	 * connection.
	 * @param framing the header that gives the length of the body
	 */
	@Test(dataProvider = "framings")
	public void aResponseWhoseHeadBreaksOffIsReportedAsLost(String framing) {
		String head = "HTTP/1.1 200 OK\r\nServer: s\r\n" + framing + "\r\n";
		for (int length = 0; length < head.length(); length++) {
			for (boolean reused : new boolean[] { false, true }) {
				assertEquals(received(head.substring(0, length), reused), List.of("LOST"),
						"after " + length + " bytes of the head");
			}
		}
	}

	/**
	 * Guards against the status of an earlier response that was written once more in
	 * part.
	 */
	@Test
	public void aResponseWhoseHeadBeginsWithAPartOfAnotherIsReportedAsLost() {
		assertEquals(received("HTTP/1.1 200 OHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", true),
				List.of("LOST"));
	}

	@Test(dataProvider = "malformedHeads", dataProviderClass = ResponseHeads.class)
	public void aResponseWithAMalformedHeadIsReportedAsLost(String statusLine, String header) {
		for (boolean reused : new boolean[] { false, true }) {
			assertEquals(received(statusLine + "\r\n" + header + "\r\nContent-Length: 4\r\n\r\nbody", reused),
					List.of("LOST"));
		}
	}

	/**
	 * Guards against a status that is none with a body of any framing, or before or
	 * behind an interim response.
	 */
	@Test
	public void aResponseWithStatus000IsReportedAsLost() {
		for (String text : List.of("000 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "000 X\r\n\r\nbody",
				"100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
				"000 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) {
			for (boolean reused : new boolean[] { false, true }) {
				assertEquals(received("HTTP/1.1 " + text, reused), List.of("LOST"), text);
			}
		}
	}

	/**
	 * Guards against a part of a body as the whole one after a write failed.
	 */
	@Test
	public void aBodyWithoutALengthIsReportedAsLostWhenItsConnectionIsClosedOnThisSide() {
		assertEquals(received("HTTP/1.1 200 OK\r\n\r\nbody", false), List.of("head", "content", "LOST"));
	}

	@Test
	public void aConnectionIsNeverPooledWithItsReadsSuspendedForASlowCaller() {
		List<Boolean> pooledWithReads = new ArrayList<>();
		BackendHandler handler = new BackendHandler(false,
				(channel) -> pooledWithReads.add(channel.config().isAutoRead()));
		EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder(), handler.decoder(), handler);
		exchange(channel, handler, new Recorder() {
			@Override
			public void contentReceived(HttpContent content) {
				super.contentReceived(content);
				channel.config().setAutoRead(false);
			}
		}, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
		assertEquals(pooledWithReads, List.of(true));
		assertTrue(channel.config().isAutoRead());
		channel.finishAndReleaseAll();
	}

	private static List<String> received(String beginning, boolean reused) {
		BackendHandler handler = new BackendHandler(false, (channel) -> {
		});
		EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder(), handler.decoder(), handler);
		if (reused) {
			exchange(channel, handler, new Recorder(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
		}
		Recorder recorder = new Recorder();
		exchange(channel, handler, recorder, beginning);
		channel.finishAndReleaseAll();
		return recorder.events;
	}

	private static void exchange(EmbeddedChannel channel, BackendHandler handler, Recorder recorder, String response) {
		handler.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/post/1"), recorder);
		channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
	}

	private static class Recorder implements ResponseReceiver {

		private final List<String> events = new ArrayList<>();

		@Override
		public boolean connectionAcquired(Channel connection, boolean reused) {
			return true;
		}

		@Override
		public boolean headReceived(HttpResponse head) {
			this.events.add("head");
			return true;
		}

		@Override
		public void contentReceived(HttpContent content) {
			this.events.add("content");
			content.release();
		}

		@Override
		public void attemptFailed(AttemptResult result) {
			this.events.add(result.name());
		}

	}

}
