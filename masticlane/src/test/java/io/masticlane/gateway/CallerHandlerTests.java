package io.masticlane.gateway;

import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.IntStream;

import io.masticlane.caller.BodyAggregator;
import io.masticlane.memory.MessageMemory;
import io.masticlane.plan.TrafficPlan;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class CallerHandlerTests {

	private static final int MAXIMUM_BODY_BYTES = 16;

	private static final int MEMORY_BYTES = 12;

	/**
	 * The beginning of the paths whose requests are idempotent.
	 */
	private static final String IDEMPOTENT = "/read/";

	private List<String> started;

	private List<String> cut;

	private List<String> disconnected;

	private List<String> logged;

	private ReadTimeoutTracker timeouts;

	private Map<String, CallerExchange> waiting;

	private CallerHandler handler;

	private EmbeddedChannel channel;

	private boolean leaving;

	@BeforeMethod
	public void start() {
		this.started = new ArrayList<>();
		this.cut = new ArrayList<>();
		this.waiting = new HashMap<>();
		this.disconnected = new ArrayList<>();
		this.logged = new ArrayList<>();
		this.timeouts = new ReadTimeoutTracker();
		this.leaving = false;
		MessageMemory memory = new MessageMemory(MEMORY_BYTES);
		this.handler = new CallerHandler(new FakeProcessor(), () -> this.leaving, this.timeouts,
				new RequestSequence(memory), new PipelineEvents(new GatewayMetrics(),
						(event, arguments) -> this.logged.add(event + " " + List.of(arguments))));
		this.channel = new EmbeddedChannel(this.timeouts, new BodyAggregator(() -> MAXIMUM_BODY_BYTES, memory),
				this.handler);
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

	/**
	 * Guards against responses that leave in the order in which they are complete.
	 */
	@Test
	public void idempotentRequestsRunConcurrentlyAndAreAnsweredInOrder() {
		receive("/read/a", "/read/b", "/read/c");
		assertEquals(this.started, List.of("/read/a", "/read/b", "/read/c"));
		respond("/read/c");
		respond("/read/b");
		assertEquals(responses(), List.of());
		respond("/read/a");
		assertEquals(responses(), List.of("/read/a", "/read/b", "/read/c"));
	}

	/**
	 * Guards against a request that runs before one on whose effect it depends.
	 */
	@Test
	public void aRequestThatIsNotIdempotentRunsAlone() {
		receive("/read/a", "/read/b", "/c", "/read/d");
		respond("/read/b");
		this.channel.runPendingTasks();
		assertEquals(this.started, List.of("/read/a", "/read/b"));
		respond("/read/a");
		this.channel.runPendingTasks();
		assertEquals(this.started, List.of("/read/a", "/read/b", "/c"));
		respond("/c");
		this.channel.runPendingTasks();
		assertEquals(this.started, List.of("/read/a", "/read/b", "/c", "/read/d"));
	}

	/**
	 * Guards against requests that run on, or are started, though their responses have no
	 * connection any more.
	 */
	@Test
	public void requestsBehindAResponseThatClosesTheConnectionAreCancelledOrNotStarted() {
		receive("/read/a", "/read/b", "/read/c", "/d");
		this.waiting.remove("/read/b")
			.forwardResponse(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
		assertEquals(this.disconnected, List.of("/read/c EARLIER_RESPONSE"));
		respond("/read/a");
		this.channel.runPendingTasks();
		assertEquals(responses(), List.of("/read/a", ""));
		assertEquals(this.started, List.of("/read/a", "/read/b", "/read/c"));
		assertEquals(this.logged, List.of("PIPELINED_REQUESTS_DROPPED [embedded, closed, 1, 1, 16]"));
		assertFalse(this.channel.isOpen());
	}

	/**
	 * Guards against a caller that occupies the slots of several servers, or any amount
	 * of memory, with one connection.
	 */
	@Test
	public void requestsBeyondTheLimitsWaitOrAreLeftOut() {
		String[] uris = IntStream.range(0, 30).mapToObj((index) -> "/read/" + index).toArray(String[]::new);
		receive(uris);
		assertEquals(this.started.size(), RequestSequence.MAXIMUM_STARTED_REQUESTS);
		while (!this.waiting.isEmpty()) {
			respond(this.started.get(responses().size()));
			this.channel.runPendingTasks();
		}
		int taken = RequestSequence.MAXIMUM_STARTED_REQUESTS + RequestSequence.MAXIMUM_WAITING_REQUESTS;
		assertEquals(responses(), List.of(uris).subList(0, taken));
		assertEquals(this.logged.size(), 1);
		assertFalse(this.channel.isOpen());
	}

	/**
	 * Guards against any number of responses that are held back behind a slow request.
	 */
	@Test
	public void noRequestIsStartedWhileTooManyBytesAreHeldBack() {
		receive("/read/a", "/read/b");
		respondWithBytes("/read/b");
		receive("/read/c");
		assertEquals(this.started, List.of("/read/a", "/read/b"));
		respond("/read/a");
		this.channel.runPendingTasks();
		assertEquals(this.started, List.of("/read/a", "/read/b", "/read/c"));
	}

	/**
	 * Guards against a caller that never reads and makes the gateway hold any number of
	 * responses, for any time.
	 */
	@Test
	public void aCallerThatNeverReadsStartsNoFurtherRequestsAndExceedsTheIdleTimeout() {
		List<ChannelPromise> writes = withholdWrites();
		receive("/a");
		respondWithBytes("/a");
		receive("/b");
		assertEquals(this.started, List.of("/a"));
		assertTrue(this.timeouts.isTimedOut(TrafficPlan.empty().limits(), System.nanoTime() + Long.MAX_VALUE / 2));
		writes.get(0).setSuccess();
		this.channel.runPendingTasks();
		assertEquals(this.started, List.of("/a", "/b"));
	}

	/**
	 * Guards against a planned stop that closes a connection after the first of several
	 * responses, and against requests that it starts only to cut them.
	 */
	@Test
	public void aLeavingGatewayClosesAConnectionAfterAllRequestsThatRun() {
		List<ChannelPromise> writes = withholdWrites();
		receive("/read/a", "/read/b");
		this.leaving = true;
		respond("/read/b");
		this.handler.closeIfIdle();
		assertEquals(writes.size(), 0);
		respond("/read/a");
		receive("/read/c");
		assertEquals(writes.size(), 2);
		writes.forEach(ChannelPromise::setSuccess);
		assertEquals(this.started, List.of("/read/a", "/read/b"));
		assertFalse(this.channel.isOpen());
	}

	/**
	 * Guards against requests that end with the process without a response.
	 */
	@Test
	public void allRequestsAreAnsweredWhenTheProcessEnds() {
		receive("/read/a", "/read/b", "/c", "/read/d");
		this.leaving = true;
		this.handler.endInFlight();
		this.channel.runPendingTasks();
		assertEquals(responses(), List.of("/read/a", "/read/b", "/c", "/read/d"));
		assertFalse(this.channel.isOpen());
	}

	private void receive(String... uris) {
		for (String uri : uris) {
			this.channel.writeInbound(request(uri));
		}
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

	private CallerHandler.Processing newProcessing(CallerExchange caller, FullHttpRequest request) {
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
				CallerHandlerTests.this.disconnected.add(uri + " " + reason);
			}

			@Override
			public boolean isIdempotent() {
				return uri.startsWith(IDEMPOTENT);
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

	private void respondWithBytes(String uri) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
				Unpooled.buffer().writeZero((int) RequestSequence.MAXIMUM_UNSENT_BYTES));
		HttpUtil.setContentLength(response, RequestSequence.MAXIMUM_UNSENT_BYTES);
		this.waiting.remove(uri).forwardResponse(response);
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

	private final class FakeProcessor implements CallerHandler.Processor {

		@Override
		public CallerHandler.Processing create(CallerExchange caller, FullHttpRequest request) {
			return newProcessing(caller, request);
		}

		@Override
		public boolean isIdempotent(FullHttpRequest request) {
			return request.uri().startsWith(IDEMPOTENT);
		}

	}

}
