package io.masticlane.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import io.masticlane.caller.BodyAggregator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class CallerHandlerTests {

	private static final int MAXIMUM_BODY_BYTES = 16;

	private List<String> started;

	private Map<String, CallerHandler> waiting;

	private CallerHandler handler;

	private EmbeddedChannel channel;

	@BeforeMethod
	public void start() {
		this.started = new ArrayList<>();
		this.waiting = new HashMap<>();
		ReadTimeoutTracker timeouts = new ReadTimeoutTracker();
		this.handler = new CallerHandler(this::process, () -> false, timeouts);
		this.channel = new EmbeddedChannel(timeouts, new BodyAggregator(MAXIMUM_BODY_BYTES), this.handler);
	}

	@Test
	public void aRequestThatArrivesBeforeAPipelinedOneHasStartedWaitsForIt() {
		this.channel.writeInbound(request("/a"));
		this.channel.writeInbound(request("/b"));
		respond("/a");
		this.channel.writeInbound(request("/c"));
		assertEquals(this.started, List.of("/a", "/b"));
		respond("/b");
		this.channel.runPendingTasks();
		respond("/c");
		assertEquals(responses(), List.of("/a", "/b", "/c"));
	}

	@Test
	public void aConnectionIsNotIdleBeforeAPipelinedRequestHasStarted() {
		this.channel.writeInbound(request("/a"));
		this.channel.writeInbound(request("/b"));
		respond("/a");
		this.handler.closeIfIdle();
		this.channel.runPendingTasks();
		assertEquals(this.started, List.of("/a", "/b"));
		assertTrue(this.channel.isOpen());
	}

	@Test
	public void theRefusalOfATooLargeBodyFollowsTheResponsesToEarlierRequests() {
		this.channel.writeInbound(request("/a"));
		DefaultHttpRequest large = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/large");
		large.headers().set(HttpHeaderNames.CONTENT_LENGTH, MAXIMUM_BODY_BYTES + 1);
		this.channel.writeInbound(large);
		assertEquals(responses(), List.of());
		respond("/a");
		this.channel.runPendingTasks();
		assertEquals(responses(), List.of("/a", "the body is too large"));
	}

	private CallerHandler.Processing process(CallerHandler caller, FullHttpRequest request) {
		String uri = request.uri();
		return new CallerHandler.Processing() {

			@Override
			public void start() {
				CallerHandlerTests.this.started.add(uri);
				CallerHandlerTests.this.waiting.put(uri, caller);
			}

			@Override
			public void callerDisconnected() {
				CallerHandlerTests.this.waiting.remove(uri);
			}

		};
	}

	private void respond(String uri) {
		this.waiting.remove(uri).sendError(HttpResponseStatus.BAD_GATEWAY, uri, OptionalDouble.empty());
	}

	private List<String> responses() {
		return this.channel.outboundMessages()
			.stream()
			.map((message) -> ((FullHttpResponse) message).content().toString(StandardCharsets.UTF_8).trim())
			.toList();
	}

	private static FullHttpRequest request(String uri) {
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
	}

}
