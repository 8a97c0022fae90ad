package io.masticlane.gateway;

import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import io.masticlane.caller.BodyAggregator;
import io.masticlane.memory.MessageMemory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
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
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CallerHandlerTests {

	private static final int MAXIMUM_BODY_BYTES = 16;

	private static final int MEMORY_BYTES = 12;

	private List<String> started;

	private List<String> cut;

	private Map<String, CallerExchange> waiting;

	private CallerHandler handler;

	private EmbeddedChannel channel;

	private boolean leaving;

	@BeforeMethod
	public void start() {
		this.started = new ArrayList<>();
		this.cut = new ArrayList<>();
		this.waiting = new HashMap<>();
		ReadTimeoutTracker timeouts = new ReadTimeoutTracker();
		this.leaving = false;
		this.handler = new CallerHandler(this::process, () -> this.leaving, timeouts);
		this.channel = new EmbeddedChannel(timeouts,
				new BodyAggregator(() -> MAXIMUM_BODY_BYTES, new MessageMemory(MEMORY_BYTES)), this.handler);
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
	public void aBodyWithoutMemoryIsRefusedAsNotRun() {
		DefaultHttpRequest large = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/large");
		large.headers().set(HttpHeaderNames.CONTENT_LENGTH, MEMORY_BYTES + 1);
		this.channel.writeInbound(large);
		FullHttpResponse response = (FullHttpResponse) this.channel.outboundMessages().peek();
		assertEquals(response.status(), HttpResponseStatus.SERVICE_UNAVAILABLE);
		assertEquals(response.headers().get(HttpHeaderNames.RETRY_AFTER), "0.500");
		assertEquals(responses(), List.of("not run: no memory for the body"));
		assertFalse(this.channel.isOpen());
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

	/**
	 * Guards against a planned stop that drops requests which were read completely.
	 */
	@Test
	public void pipelinedRequestsAreAnsweredBeforeALeavingGatewayClosesTheConnection() {
		this.channel.writeInbound(request("/a"));
		this.channel.writeInbound(request("/b"));
		this.leaving = true;
		respond("/a");
		this.channel.runPendingTasks();
		respond("/b");
		assertEquals(responses(), List.of("/a", "/b"));
		assertFalse(this.channel.isOpen());
	}

	/**
	 * Guards against a request that is sent to a server although its connection is about
	 * to be closed.
	 */
	@Test
	public void aRequestThatFollowsTheLastResponseIsNotStarted() {
		List<ChannelPromise> writes = withholdWrites();
		this.channel.writeInbound(request("/a"));
		this.leaving = true;
		respond("/a");
		this.channel.writeInbound(request("/b"));
		assertEquals(this.started, List.of("/a"));
		writes.get(0).setSuccess();
		assertFalse(this.channel.isOpen());
	}

	@Test
	public void aResponseThatWasNotWrittenWhenTheGatewayClosedTheConnectionIsReported() {
		List<ChannelPromise> writes = withholdWrites();
		this.channel.writeInbound(request("/a"));
		respond("/a");
		this.handler.closeTimedOut();
		writes.get(0).setFailure(new ClosedChannelException());
		assertEquals(this.cut, List.of("/a TIMEOUT"));
	}

	@Test
	public void theLastResponseIsReportedIfItsConnectionIsOpenWhenTheProcessEnds() {
		List<ChannelPromise> writes = withholdWrites();
		this.leaving = true;
		this.channel.writeInbound(request("/a"));
		respond("/a");
		this.handler.processEnds();
		writes.get(0).setFailure(new ClosedChannelException());
		assertEquals(this.cut, List.of("/a PROCESS_END"));
	}

	private List<ChannelPromise> withholdWrites() {
		List<ChannelPromise> writes = new ArrayList<>();
		this.channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
			@Override
			public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
				writes.add(promise);
			}
		});
		return writes;
	}

	private CallerHandler.Processing process(CallerExchange caller, FullHttpRequest request) {
		String uri = request.uri();
		return new CallerHandler.Processing() {

			@Override
			public void start() {
				CallerHandlerTests.this.started.add(uri);
				CallerHandlerTests.this.waiting.put(uri, caller);
			}

			@Override
			public void callerDisconnected(CallerHandler.Disconnection reason) {
				CallerHandlerTests.this.waiting.remove(uri);
			}

			@Override
			public void responseCut(CallerHandler.Disconnection reason) {
				CallerHandlerTests.this.cut.add(uri + " " + reason);
			}

			@Override
			public void responseUnconfirmed(CallerHandler.Disconnection reason) {
				CallerHandlerTests.this.cut.add(uri + " unconfirmed " + reason);
			}

			@Override
			public void gatewayEnds() {
				respond(uri);
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
