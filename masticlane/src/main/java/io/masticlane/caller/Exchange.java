package io.masticlane.caller;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.masticlane.backend.AnswerReceiver;
import io.masticlane.backend.BackendConnections;
import io.masticlane.backend.BackendReport;
import io.masticlane.configuration.BackendServer;
import io.masticlane.configuration.Organisation;
import io.masticlane.configuration.Route;
import io.masticlane.failure.ErrorKind;
import io.masticlane.failure.Outcome;
import io.masticlane.failure.Refusal;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.Arrival;
import io.masticlane.steering.AttemptEnd;
import io.masticlane.steering.Carrier;
import io.masticlane.steering.Flight;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
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
final class Exchange implements Carrier {

	private static final AtomicLong REQUEST_IDS = new AtomicLong();

	private static final long OFFER_AGAIN_MILLIS = 1;

	private final RequestHandler handler;

	private final ChannelHandlerContext context;

	private final FullHttpRequest request;

	private final EntryServices services;

	private final BackendConnections connections;

	private final boolean keepAlive;

	private final long started = System.nanoTime();

	private long deadline;

	private RoutingTable.Match match;

	private String organisation = "";

	private ScheduledFuture<?> timeout;

	private Attempt attempt;

	private boolean answering;

	private boolean done;

	/**
	 * The state at the decision core, used on the decisions' thread alone.
	 */
	private Flight flight;

	Exchange(RequestHandler handler, ChannelHandlerContext context, FullHttpRequest request, EntryServices services,
			BackendConnections connections) {
		this.handler = handler;
		this.context = context;
		this.request = request;
		this.services = services;
		this.connections = connections;
		this.keepAlive = HttpUtil.isKeepAlive(request);
	}

	void begin() {
		Optional<ErrorKind> problem = check();
		if (problem.isPresent()) {
			finishWith(Refusal.of(problem.get()));
			return;
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(this.deadline - this.started);
		this.timeout = this.context.executor().schedule(this::timedOut, millis, TimeUnit.MILLISECONDS);
		Arrival arrival = new Arrival(this.organisation, this.match, operation().orElse(""), this.deadline, this);
		boolean accepted = this.services.decisions()
			.test(() -> this.flight = this.services.steering().arrive(arrival, System.nanoTime()));
		if (!accepted) {
			finishWith(Refusal.of(ErrorKind.SATURATED));
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

	void callerWritable(boolean writable) {
		if (this.attempt != null && this.attempt.connection != null) {
			this.attempt.connection.config().setAutoRead(writable);
		}
	}

	void callerGone() {
		if (!this.done) {
			finish("abandoned");
			cancelAttempt();
			tell(AttemptEnd.ABANDONED);
		}
	}

	private Optional<ErrorKind> check() {
		RoutingTable table = this.services.table().get();
		if (this.services.stopping().getAsBoolean()) {
			return Optional.of(ErrorKind.SHUTTING_DOWN);
		}
		if (table == null) {
			return Optional.of(ErrorKind.NOT_READY);
		}
		String uri = this.request.uri();
		int query = uri.indexOf('?');
		Optional<RoutingTable.Match> found = table.match(this.request.method().name(),
				(query >= 0) ? uri.substring(0, query) : uri);
		if (found.isEmpty()) {
			return Optional.of(ErrorKind.NO_ROUTE);
		}
		this.match = found.get();
		this.deadline = this.started + TimeUnit.MILLISECONDS.toNanos(allowedMillis());
		return checkKeys(table);
	}

	private Optional<ErrorKind> checkKeys(RoutingTable table) {
		Route route = this.match.route();
		if (route.access() == Route.Access.KEYED) {
			List<String> presented = this.request.headers().getAll(HttpHeaderNames.AUTHORIZATION);
			if (presented.isEmpty()) {
				return Optional.of(ErrorKind.KEY_MISSING);
			}
			Optional<Organisation> found = (presented.size() == 1)
					? bearer(presented.get(0)).flatMap(table::organisation) : Optional.empty();
			if (found.isEmpty()) {
				return Optional.of(ErrorKind.KEY_REFUSED);
			}
			this.organisation = found.get().name();
		}
		return (route.idempotent() || operation().isPresent()) ? Optional.empty()
				: Optional.of(ErrorKind.OPERATION_KEY_MISSING);
	}

	private static Optional<String> bearer(String value) {
		String scheme = "Bearer ";
		return value.regionMatches(true, 0, scheme, 0, scheme.length())
				? Optional.of(value.substring(scheme.length()).trim()) : Optional.empty();
	}

	private Optional<String> operation() {
		List<String> values = this.request.headers().getAll(Headers.IDEMPOTENCY_KEY);
		return (values.size() == 1) ? Optional.of(values.get(0)).filter((value) -> value.matches("[!-~]{1,200}"))
				: Optional.empty();
	}

	private long allowedMillis() {
		int ofRoute = this.match.route().deadlineMillis();
		String stated = this.request.headers().get(Headers.DEADLINE_MILLIS, "");
		return stated.matches("[0-9]{1,9}") ? Math.min(ofRoute, Long.parseLong(stated)) : ofRoute;
	}

	private void send(BackendServer server) {
		if (this.done) {
			tell(AttemptEnd.NOT_SENT);
			return;
		}
		this.attempt = new Attempt(server.name());
		this.connections.send(server, outbound(server), this.attempt);
	}

	private FullHttpRequest outbound(BackendServer server) {
		FullHttpRequest outbound = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.request.method(),
				this.request.uri(), this.request.content().retainedDuplicate());
		Headers.copyForwarded(this.request.headers(), outbound.headers());
		long left = TimeUnit.NANOSECONDS.toMillis(this.deadline - System.nanoTime());
		outbound.headers()
			.set(HttpHeaderNames.HOST, server.address())
			.set(HttpHeaderNames.CONTENT_LENGTH, this.request.content().readableBytes())
			.set(Headers.DEADLINE_MILLIS, Math.max(1, left))
			.set(Headers.REQUEST_ID, this.attempt.requestId);
		if (!this.organisation.isEmpty()) {
			outbound.headers().set(Headers.ORGANISATION, this.organisation);
		}
		return outbound;
	}

	private void timedOut() {
		if (this.done) {
			return;
		}
		if (this.attempt == null) {
			finishWith(Refusal.of(ErrorKind.DEADLINE_EXCEEDED));
			tell(AttemptEnd.ABANDONED);
		}
		else {
			abort(AttemptEnd.TIMED_OUT);
		}
	}

	private void abort(AttemptEnd end) {
		cancelAttempt();
		if (this.answering) {
			finish("cut");
			this.context.close();
			tell(AttemptEnd.ABANDONED);
		}
		else {
			tell(end);
		}
	}

	private void cancelAttempt() {
		Attempt cancelled = this.attempt;
		this.attempt = null;
		if (cancelled != null && cancelled.connection != null) {
			cancelled.connection.close();
		}
	}

	private void finishWith(Refusal refusal) {
		if (this.done) {
			return;
		}
		finish(refusal.kind().text());
		this.context.writeAndFlush(Answers.refusal(refusal, this.keepAlive));
		this.handler.completed(this.context, this.keepAlive);
	}

	private void finish(String result) {
		this.done = true;
		this.request.release();
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
		String service = (this.match != null) ? this.match.service().name() : "";
		this.services.metrics().request(service, this.organisation, result, System.nanoTime() - this.started);
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
			this.services.decisions().test(() -> this.services.steering().reported(server, report, System.nanoTime()));
		}
	}

	private void tell(AttemptEnd end) {
		boolean accepted = this.services.decisions()
			.test(() -> this.services.steering().attemptEnded(this.flight, end, System.nanoTime()));
		if (!accepted) {
			this.context.executor().schedule(() -> tell(end), OFFER_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * One attempt at a backend server.
	 */
	private final class Attempt implements AnswerReceiver {

		private final String server;

		private final String requestId = Long.toString(REQUEST_IDS.incrementAndGet());

		private Channel connection;

		private boolean shed;

		private Attempt(String server) {
			this.server = server;
		}

		@Override
		public void sent(Channel connection) {
			this.connection = connection;
			if (Exchange.this.attempt != this) {
				connection.close();
			}
		}

		@Override
		public void head(HttpResponse head) {
			if (Exchange.this.attempt != this) {
				return;
			}
			report(this.server, head);
			String echoed = head.headers().get(Headers.REQUEST_ID, this.requestId);
			this.shed = head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
					&& Outcome.NOT_RUN.text().equals(head.headers().get(Headers.OUTCOME));
			if (!echoed.equals(this.requestId)) {
				abort(AttemptEnd.LOST);
			}
			else if (!this.shed) {
				Exchange.this.answering = true;
				Headers.removeHopByHop(head.headers());
				HttpUtil.setKeepAlive(head, Exchange.this.keepAlive);
				Exchange.this.context.write(head);
			}
		}

		@Override
		public void content(HttpContent content) {
			if (Exchange.this.attempt != this) {
				content.release();
				return;
			}
			boolean last = content instanceof LastHttpContent;
			if (this.shed) {
				content.release();
			}
			else if (last) {
				Exchange.this.context.writeAndFlush(content);
			}
			else {
				Exchange.this.context.writeAndFlush(content);
				callerWritable(Exchange.this.context.channel().isWritable());
			}
			if (last) {
				whole();
			}
		}

		@Override
		public void failed(AttemptEnd end) {
			if (Exchange.this.attempt == this) {
				Exchange.this.attempt = null;
				abort(end);
			}
		}

		private void whole() {
			Exchange.this.attempt = null;
			if (this.shed) {
				tell(AttemptEnd.SHED);
				return;
			}
			finish("answered");
			tell(AttemptEnd.ANSWERED);
			Exchange.this.handler.completed(Exchange.this.context, Exchange.this.keepAlive);
		}

	}

}
