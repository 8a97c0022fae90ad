package io.masticlane.caller;

import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.masticlane.backend.BackendConnections;
import io.masticlane.backend.BackendReport;
import io.masticlane.backend.ResponseReceiver;
import io.masticlane.configuration.BackendServer;
import io.masticlane.failure.ErrorKind;
import io.masticlane.failure.Outcome;
import io.masticlane.failure.Refusal;
import io.masticlane.operation.RecordedResponse;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.AttemptResult;
import io.masticlane.steering.DecisionHandler;
import io.masticlane.steering.InFlightRequest;
import io.masticlane.steering.IncomingRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Proxies one request and its response. Confined to the event loop of the caller's
 * connection.
 */
final class Exchange implements DecisionHandler {

	private static final AtomicLong REQUEST_IDS = new AtomicLong();

	private static final long COMMAND_RETRY_MILLIS = 1;

	/**
	 * The maximum time to wait for the first byte of a response on a reused connection,
	 * in nanoseconds. Applies if the request is idempotent and its deadline leaves the
	 * same time for another attempt.
	 */
	private static final long FIRST_BYTE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The maximum idle time of a reused connection on which an operation is sent, in
	 * nanoseconds.
	 */
	private static final long MAXIMUM_OPERATION_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final RequestHandler handler;

	private final ChannelHandlerContext context;

	private final FullHttpRequest request;

	private final EntryServices services;

	private final BackendConnections connections;

	private boolean keepAlive;

	private final long startedAt = System.nanoTime();

	private final RequestCheck check;

	private long deadline;

	private ScheduledFuture<?> timeout;

	private Attempt attempt;

	private boolean attemptLost;

	private boolean responseStarted;

	/**
	 * Whether no more attempts are made, since the deadline passed or the process ends.
	 */
	private boolean attemptsEnded;

	private boolean done;

	/**
	 * The state of the request in the decision core. Confined to the decisions thread.
	 */
	private InFlightRequest inFlightRequest;

	Exchange(RequestHandler handler, ChannelHandlerContext context, FullHttpRequest request, EntryServices services,
			BackendConnections connections) {
		this.handler = handler;
		this.context = context;
		this.request = request;
		this.services = services;
		this.connections = connections;
		this.keepAlive = HttpUtil.isKeepAlive(request) && !services.leaving().getAsBoolean();
		this.check = RequestCheck.of(request, services);
	}

	void begin() {
		if (this.check.problem().isPresent()) {
			refuseUnsubmitted(this.check.problem().get());
			return;
		}
		this.deadline = this.startedAt + this.check.allowedNanos();
		this.timeout = this.context.executor()
			.schedule(this::timedOut, this.check.allowedNanos(), TimeUnit.NANOSECONDS);
		IncomingRequest incoming = new IncomingRequest(this.check.organisation(), this.check.match(),
				this.check.operation(), this.deadline, this);
		if (!this.services.decisions().test(() -> submit(incoming))) {
			refuseUnsubmitted(ErrorKind.SATURATED);
		}
	}

	private void submit(IncomingRequest incoming) {
		this.inFlightRequest = this.services.admission().test(this.deadline)
				? this.services.steering().submit(incoming, System.nanoTime())
				: this.services.steering().refuseInStop(incoming);
	}

	@Override
	public void dispatch(BackendServer server) {
		this.context.executor().execute(() -> send(server));
	}

	@Override
	public void refuse(Refusal refusal) {
		this.context.executor().execute(() -> finishWith(refusal));
	}

	@Override
	public void replay(RecordedResponse response) {
		this.context.executor().execute(() -> finishWith("replayed", Responses.replay(response, this.keepAlive)));
	}

	void callerWritabilityChanged(boolean writable) {
		if (this.attempt != null && this.attempt.connection != null) {
			this.attempt.connection.config().setAutoRead(writable);
		}
	}

	void callerDisconnected() {
		if (!this.done) {
			finish("abandoned");
			reportAttemptEnd(cancelAttempt() ? AttemptResult.ABANDONED : AttemptResult.CANCELLED);
		}
	}

	/**
	 * Ends the request if its key is no longer known to be granted. An operation that may
	 * have run continues until its response starts, so that the caller learns the result.
	 * @param table the current routing table
	 */
	void keysChanged(RoutingTable table) {
		boolean awaitingResult = this.attempt != null && !this.responseStarted && !isIdempotent();
		boolean stale = this.check.hasKey() && this.services.stale().getAsBoolean();
		if (this.done || awaitingResult || !stale && this.check.isKeyGranted(this.request, table)) {
			return;
		}
		boolean sent = cancelAttempt();
		if (this.responseStarted) {
			endAttempt(AttemptResult.ABANDONED);
		}
		else {
			ErrorKind kind = stale ? ErrorKind.STALE : ErrorKind.KEY_REFUSED;
			finishWith(Refusal.of(kind).withOutcome(Outcome.UNKNOWN));
			reportAttemptEnd(sent ? AttemptResult.ABANDONED : AttemptResult.CANCELLED);
		}
	}

	/**
	 * Ends the request because the process ends. A response that has begun continues
	 * until the connection is closed.
	 */
	void entryHostEnds() {
		if (!this.done && !this.responseStarted) {
			this.attemptsEnded = true;
			this.keepAlive = false;
			AttemptResult result = cancelAttempt() ? AttemptResult.ABANDONED : AttemptResult.CANCELLED;
			submitCommand(
					() -> this.services.steering().entryHostEnds(this.inFlightRequest, result, System.nanoTime()));
		}
	}

	/**
	 * Refuses a request that was not submitted to the decision core. Earlier attempts at
	 * its operation are unknown here.
	 * @param kind the error kind
	 */
	private void refuseUnsubmitted(ErrorKind kind) {
		Refusal refusal = Refusal.of(kind);
		finishWith(RequestCheck.hasIdempotencyKey(this.request) ? refusal.withOutcome(Outcome.UNKNOWN) : refusal);
	}

	private boolean isIdempotent() {
		return this.check.match().route().idempotent();
	}

	private void send(BackendServer server) {
		if (this.done || this.attemptsEnded) {
			return;
		}
		this.attempt = new Attempt(server);
		long maximumIdleNanos = isIdempotent() ? BackendConnections.MAXIMUM_IDLE_NANOS : MAXIMUM_OPERATION_IDLE_NANOS;
		this.connections.send(server, outbound(server), this.attemptLost ? 0 : maximumIdleNanos, this.attempt);
	}

	private FullHttpRequest outbound(BackendServer server) {
		FullHttpRequest outbound = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.method(),
				this.request.uri(), this.request.content().retainedDuplicate());
		Headers.copyForwarded(this.request.headers(), outbound.headers());
		outbound.headers()
			.set(HttpHeaderNames.HOST, server.address())
			.set(HttpHeaderNames.CONTENT_LENGTH, this.request.content().readableBytes())
			.set(Headers.DEADLINE_MILLIS, Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos())))
			.set(Headers.REQUEST_ID, this.attempt.requestId);
		if (!this.check.organisation().isEmpty()) {
			outbound.headers().set(Headers.ORGANISATION, this.check.organisation());
		}
		return outbound;
	}

	private long remainingNanos() {
		return this.deadline - System.nanoTime();
	}

	private void timedOut() {
		if (!this.done) {
			this.attemptsEnded = true;
			endAttempt(cancelAttempt() ? AttemptResult.TIMED_OUT : AttemptResult.CANCELLED);
		}
	}

	/**
	 * Ends an attempt without a complete response. A response that has started is cut
	 * off, so that the caller sees it as truncated.
	 * @param result the result of the attempt
	 */
	private void endAttempt(AttemptResult result) {
		if (this.responseStarted) {
			finish("cut");
			this.context.close();
			reportAttemptEnd(AttemptResult.ABANDONED);
		}
		else {
			this.attemptLost |= result == AttemptResult.LOST;
			reportAttemptEnd(result);
		}
	}

	/**
	 * Cancels the current attempt.
	 * @return whether the backend server may have received the request
	 */
	private boolean cancelAttempt() {
		Attempt cancelled = this.attempt;
		this.attempt = null;
		if (cancelled == null || cancelled.connection == null) {
			return false;
		}
		cancelled.connection.close();
		return true;
	}

	private void finishWith(Refusal refusal) {
		finishWith(refusal.kind().text(), Responses.refusal(refusal, this.keepAlive));
	}

	private void finishWith(String result, FullHttpResponse response) {
		if (this.done) {
			response.release();
			return;
		}
		finish(result);
		this.context.writeAndFlush(response);
		this.handler.exchangeCompleted(this.context, this.keepAlive);
	}

	private void finish(String result) {
		this.done = true;
		this.request.release();
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
		String service = (this.check.match() != null) ? this.check.match().service().name() : "";
		this.services.metrics()
			.recordRequest(service, this.check.organisation(), result, System.nanoTime() - this.startedAt);
	}

	/**
	 * Passes the load and state that a backend server reports to the decision core. A
	 * report is dropped if the command queue is full, since the next response carries a
	 * new one.
	 * @param server the name of the backend server
	 * @param head the head of its response
	 */
	private void submitReport(String server, HttpResponse head) {
		BackendReport report = BackendReport.parse(head.headers().get(BackendReport.LOAD_HEADER, ""),
				head.headers().get(BackendReport.STATE_HEADER, ""));
		head.headers().remove(BackendReport.LOAD_HEADER).remove(BackendReport.STATE_HEADER);
		if (report != BackendReport.NONE) {
			this.services.decisions()
				.test(() -> this.services.steering().reportReceived(server, report, System.nanoTime()));
		}
	}

	private void reportAttemptEnd(AttemptResult result) {
		submitCommand(() -> this.services.steering().attemptEnded(this.inFlightRequest, result, System.nanoTime()));
	}

	private void submitCommand(Runnable command) {
		if (!this.services.decisions().test(command)) {
			this.context.executor().schedule(() -> submitCommand(command), COMMAND_RETRY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * One attempt at a backend server.
	 */
	private final class Attempt implements ResponseReceiver {

		private final String requestId = Long.toString(REQUEST_IDS.incrementAndGet());

		private final BackendServer server;

		private final ResponseRecorder recorder = Exchange.this.isIdempotent() ? ResponseRecorder.NoOp.INSTANCE
				: new ResponseRecorder.Bounded();

		private Channel connection;

		private boolean connectionReused;

		private boolean responseReceived;

		private boolean shed;

		private boolean closeDelimited;

		private Attempt(BackendServer server) {
			this.server = server;
		}

		@Override
		public boolean connectionAcquired(Channel connection, boolean reused) {
			if (!isCurrent()) {
				return false;
			}
			this.connection = connection;
			this.connectionReused = reused;
			if (reused && Exchange.this.isIdempotent() && remainingNanos() > 2 * FIRST_BYTE_TIMEOUT_NANOS) {
				Exchange.this.context.executor()
					.schedule(this::firstByteTimedOut, FIRST_BYTE_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
			}
			return true;
		}

		@Override
		public boolean headReceived(HttpResponse head) {
			if (!isCurrent()) {
				return false;
			}
			List<String> named = head.headers().getAll(Headers.REQUEST_ID);
			boolean namesAttempt = named.equals(List.of(this.requestId));
			// An unnamed response on a reused connection may be one to an earlier
			// request.
			if (!namesAttempt && (this.connectionReused || !named.isEmpty())) {
				cancelAttempt();
				endAttempt(AttemptResult.LOST);
				return false;
			}
			submitReport(this.server.name(), head);
			this.responseReceived = true;
			this.shed = head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
					&& Outcome.NOT_RUN.text().equals(head.headers().get(Headers.OUTCOME));
			if (!this.shed) {
				Exchange.this.responseStarted = true;
				Headers.removeHopByHop(head.headers());
				this.recorder.recordHead(head);
				this.closeDelimited = Responses.frame(head, Exchange.this.request, Exchange.this.keepAlive);
				if (this.closeDelimited) {
					LingeringClose.resetOnClose(callerConnection(), true);
				}
				Exchange.this.context.write(head);
			}
			return namesAttempt;
		}

		@Override
		public void contentReceived(HttpContent content) {
			if (!isCurrent() || this.shed) {
				content.release();
			}
			else {
				this.recorder.recordContent(content.content());
				ChannelFuture write = Exchange.this.context.writeAndFlush(content);
				if (this.closeDelimited && content instanceof LastHttpContent) {
					write.addListener((written) -> LingeringClose.resetOnClose(callerConnection(), false));
				}
				callerWritabilityChanged(callerConnection().isWritable());
			}
			if (isCurrent() && content instanceof LastHttpContent) {
				responseCompleted();
			}
		}

		@Override
		public void attemptFailed(AttemptResult result) {
			if (isCurrent()) {
				Exchange.this.attempt = null;
				endAttempt(result);
			}
		}

		private Channel callerConnection() {
			return Exchange.this.context.channel();
		}

		private boolean isCurrent() {
			return Exchange.this.attempt == this;
		}

		private void firstByteTimedOut() {
			if (isCurrent() && !this.responseReceived) {
				Exchange.this.connections.discardIdle(this.server);
				cancelAttempt();
				endAttempt(AttemptResult.LOST);
			}
		}

		private void responseCompleted() {
			Exchange.this.attempt = null;
			if (this.shed) {
				reportAttemptEnd(AttemptResult.SHED);
				return;
			}
			finish("answered");
			submitCommand(this::completeAttempt);
			Exchange.this.handler.exchangeCompleted(Exchange.this.context,
					Exchange.this.keepAlive && !this.closeDelimited);
		}

		private void completeAttempt() {
			this.recorder.recordedResponse().ifPresent(Exchange.this.inFlightRequest::recordResponse);
			Exchange.this.services.steering()
				.attemptEnded(Exchange.this.inFlightRequest, AttemptResult.ANSWERED, System.nanoTime());
		}

	}

}
