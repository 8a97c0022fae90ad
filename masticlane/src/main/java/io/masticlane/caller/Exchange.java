package io.masticlane.caller;

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
import io.masticlane.operation.RecordedAnswer;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.AttemptResult;
import io.masticlane.steering.DecisionHandler;
import io.masticlane.steering.InFlightRequest;
import io.masticlane.steering.IncomingRequest;
import io.netty.channel.Channel;
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
 * Carries one request from its arrival to its answer, on the caller's event loop.
 */
final class Exchange implements DecisionHandler {

	private static final AtomicLong REQUEST_IDS = new AtomicLong();

	private static final long OFFER_AGAIN_MILLIS = 1;

	/**
	 * The longest time to wait for the first bytes of an answer on a connection that was
	 * used before, in nanoseconds, when the request may run again and its deadline leaves
	 * as much for another attempt.
	 */
	private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The longest time for which a connection that carries an operation may have been
	 * idle, in nanoseconds.
	 */
	private static final long OPERATION_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final RequestHandler handler;

	private final ChannelHandlerContext context;

	private final FullHttpRequest request;

	private final EntryServices services;

	private final BackendConnections connections;

	private final boolean keepAlive;

	private final long started = System.nanoTime();

	private final RequestCheck check;

	private long deadline;

	private ScheduledFuture<?> timeout;

	private Attempt attempt;

	private boolean lostOne;

	private boolean answering;

	private boolean expired;

	private boolean done;

	/**
	 * The state at the decision core, used on the decisions' thread alone.
	 */
	private InFlightRequest flight;

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
			refuseUnclaimed(this.check.problem().get());
			return;
		}
		this.deadline = this.started + this.check.allowedNanos();
		this.timeout = this.context.executor()
			.schedule(this::timedOut, this.check.allowedNanos(), TimeUnit.NANOSECONDS);
		IncomingRequest arrival = new IncomingRequest(this.check.organisation(), this.check.match(),
				this.check.operation(), this.deadline, this);
		boolean accepted = this.services.decisions()
			.test(() -> this.flight = this.services.steering().submit(arrival, System.nanoTime()));
		if (!accepted) {
			refuseUnclaimed(ErrorKind.SATURATED);
		}
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
	public void replay(RecordedAnswer answer) {
		this.context.executor().execute(() -> finishWith("replayed", Responses.replay(answer, this.keepAlive)));
	}

	void callerWritabilityChanged(boolean writable) {
		if (this.attempt != null && this.attempt.connection != null) {
			this.attempt.connection.config().setAutoRead(writable);
		}
	}

	void callerDisconnected() {
		if (!this.done) {
			finish("abandoned");
			tell(cancelAttempt() ? AttemptResult.ABANDONED : AttemptResult.CANCELLED);
		}
	}

	/**
	 * Ends the request if its key is no longer known to be granted. An operation that may
	 * have run goes on until its answer begins, so that its caller learns the result.
	 * @param table the routing table that came into force
	 */
	void keysChanged(RoutingTable table) {
		boolean kept = this.attempt != null && !this.answering && !idempotent();
		boolean stale = this.check.hasKey() && this.services.stale().getAsBoolean();
		if (this.done || kept || !stale && this.check.isKeyGranted(this.request, table)) {
			return;
		}
		boolean sent = cancelAttempt();
		if (this.answering) {
			end(AttemptResult.ABANDONED);
		}
		else {
			ErrorKind kind = stale ? ErrorKind.STALE : ErrorKind.KEY_REFUSED;
			finishWith(Refusal.of(kind).withOutcome(Outcome.UNKNOWN));
			tell(sent ? AttemptResult.ABANDONED : AttemptResult.CANCELLED);
		}
	}

	/**
	 * Refuses a request before the decision core saw it: an earlier attempt at an
	 * operation cannot be known here.
	 * @param kind the error kind
	 */
	private void refuseUnclaimed(ErrorKind kind) {
		Refusal refusal = Refusal.of(kind);
		finishWith(RequestCheck.hasIdempotencyKey(this.request) ? refusal.withOutcome(Outcome.UNKNOWN) : refusal);
	}

	private boolean idempotent() {
		return this.check.match().route().idempotent();
	}

	private void send(BackendServer server) {
		if (this.done || this.expired) {
			return;
		}
		this.attempt = new Attempt(server);
		long idle = idempotent() ? BackendConnections.MAXIMUM_IDLE_NANOS : OPERATION_IDLE_NANOS;
		this.connections.send(server, outbound(server), this.lostOne ? 0 : idle, this.attempt);
	}

	private FullHttpRequest outbound(BackendServer server) {
		FullHttpRequest outbound = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.method(),
				this.request.uri(), this.request.content().retainedDuplicate());
		Headers.copyForwarded(this.request.headers(), outbound.headers());
		outbound.headers()
			.set(HttpHeaderNames.HOST, server.address())
			.set(HttpHeaderNames.CONTENT_LENGTH, this.request.content().readableBytes())
			.set(Headers.DEADLINE_MILLIS, Math.max(1, TimeUnit.NANOSECONDS.toMillis(left())))
			.set(Headers.REQUEST_ID, this.attempt.requestId);
		if (!this.check.organisation().isEmpty()) {
			outbound.headers().set(Headers.ORGANISATION, this.check.organisation());
		}
		return outbound;
	}

	private long left() {
		return this.deadline - System.nanoTime();
	}

	private void timedOut() {
		if (!this.done) {
			this.expired = true;
			end(cancelAttempt() ? AttemptResult.TIMED_OUT : AttemptResult.CANCELLED);
		}
	}

	/**
	 * Ends an attempt without a whole answer. An answer that has begun is cut, so that
	 * the caller sees it as truncated.
	 * @param end how the attempt ended
	 */
	private void end(AttemptResult end) {
		if (this.answering) {
			finish("cut");
			this.context.close();
			tell(AttemptResult.ABANDONED);
		}
		else {
			this.lostOne |= end == AttemptResult.LOST;
			tell(end);
		}
	}

	/**
	 * Cancels the attempt under way, and tells whether the backend server may have the
	 * request.
	 * @return whether the backend server may have the request
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
		this.services.metrics().request(service, this.check.organisation(), result, System.nanoTime() - this.started);
	}

	/**
	 * Hands on what a backend server tells of itself; it tells again with its next
	 * answer.
	 * @param server the name of the backend server
	 * @param head the head of its answer
	 */
	private void report(String server, HttpResponse head) {
		BackendReport report = BackendReport.parse(head.headers().get(BackendReport.LOAD_HEADER, ""),
				head.headers().get(BackendReport.STATE_HEADER, ""));
		head.headers().remove(BackendReport.LOAD_HEADER).remove(BackendReport.STATE_HEADER);
		if (report != BackendReport.NONE) {
			this.services.decisions()
				.test(() -> this.services.steering().reportReceived(server, report, System.nanoTime()));
		}
	}

	private void tell(AttemptResult end) {
		tell(() -> this.services.steering().attemptEnded(this.flight, end, System.nanoTime()));
	}

	private void tell(Runnable command) {
		if (!this.services.decisions().test(command)) {
			this.context.executor().schedule(() -> tell(command), OFFER_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * One attempt at a backend server.
	 */
	private final class Attempt implements ResponseReceiver {

		private final String requestId = Long.toString(REQUEST_IDS.incrementAndGet());

		private final BackendServer server;

		private final ResponseRecorder recorder = Exchange.this.idempotent() ? ResponseRecorder.NoOp.INSTANCE
				: new ResponseRecorder.Bounded();

		private Channel connection;

		private boolean heard;

		private boolean shed;

		private boolean closing;

		private Attempt(BackendServer server) {
			this.server = server;
		}

		@Override
		public boolean connectionAcquired(Channel connection, boolean reused) {
			if (!current()) {
				return false;
			}
			this.connection = connection;
			if (reused && Exchange.this.idempotent() && left() > 2 * SILENCE_NANOS) {
				Exchange.this.context.executor().schedule(this::silent, SILENCE_NANOS, TimeUnit.NANOSECONDS);
			}
			return true;
		}

		@Override
		public void headReceived(HttpResponse head) {
			if (!current()) {
				return;
			}
			report(this.server.name(), head);
			this.heard = true;
			this.shed = head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
					&& Outcome.NOT_RUN.text().equals(head.headers().get(Headers.OUTCOME));
			if (!head.headers().get(Headers.REQUEST_ID, this.requestId).equals(this.requestId)) {
				cancelAttempt();
				end(AttemptResult.LOST);
			}
			else if (!this.shed) {
				Exchange.this.answering = true;
				Headers.removeHopByHop(head.headers());
				this.recorder.recordHead(head);
				this.closing = Responses.frame(head, Exchange.this.request, Exchange.this.keepAlive);
				Exchange.this.context.write(head);
			}
		}

		@Override
		public void contentReceived(HttpContent content) {
			if (!current() || this.shed) {
				content.release();
			}
			else {
				this.recorder.recordContent(content.content());
				Exchange.this.context.writeAndFlush(content);
				callerWritabilityChanged(Exchange.this.context.channel().isWritable());
			}
			if (current() && content instanceof LastHttpContent) {
				whole();
			}
		}

		@Override
		public void attemptFailed(AttemptResult end) {
			if (current()) {
				Exchange.this.attempt = null;
				end(end);
			}
		}

		private boolean current() {
			return Exchange.this.attempt == this;
		}

		private void silent() {
			if (current() && !this.heard) {
				Exchange.this.connections.discardIdle(this.server);
				cancelAttempt();
				end(AttemptResult.LOST);
			}
		}

		private void whole() {
			Exchange.this.attempt = null;
			if (this.shed) {
				tell(AttemptResult.SHED);
				return;
			}
			finish("answered");
			tell(this::answered);
			Exchange.this.handler.exchangeCompleted(Exchange.this.context, Exchange.this.keepAlive && !this.closing);
		}

		private void answered() {
			this.recorder.recordedResponse().ifPresent(Exchange.this.flight::recordResponse);
			Exchange.this.services.steering()
				.attemptEnded(Exchange.this.flight, AttemptResult.ANSWERED, System.nanoTime());
		}

	}

}
