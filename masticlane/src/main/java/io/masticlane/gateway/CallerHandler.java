package io.masticlane.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Handles the connection of a caller: starts its requests when their turn comes and sends
 * the responses in the order of the requests.
 */
final class CallerHandler extends SimpleChannelInboundHandler<Object> {

	private final Processor processor;

	private final BooleanSupplier leaving;

	private final ReadTimeoutTracker timeouts;

	private final RequestSequence requests;

	private final PipelineEvents events;

	private ChannelHandlerContext context;

	private ResponseSender responses;

	/**
	 * Whether the process ends, so that no request is given to a server.
	 */
	private boolean ending;

	/**
	 * The number of requests that were started and stay without a response, since an
	 * earlier response closes the connection.
	 */
	private int cancelled;

	/**
	 * The number of requests that are not started, for the same reason.
	 */
	private int notStarted;

	/**
	 * Creates a handler.
	 * @param processor starts the processing of each request
	 * @param leaving whether the gateway is leaving, after which connections are closed
	 * @param timeouts tracks the timeouts of the connection
	 * @param requests the requests of the connection
	 * @param events counts and logs pipelined requests
	 */
	CallerHandler(Processor processor, BooleanSupplier leaving, ReadTimeoutTracker timeouts, RequestSequence requests,
			PipelineEvents events) {
		this.processor = processor;
		this.leaving = leaving;
		this.timeouts = timeouts;
		this.requests = requests;
		this.events = events;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		this.responses = new ResponseSender(added, this::scheduleStart);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext read, Object message) {
		if (this.responses.isClosing()) {
			// The connection ends with an earlier response.
			return;
		}
		if (this.requests.isEnded()) {
			leaveOut();
			return;
		}
		this.timeouts.requestReceived();
		CallerExchange exchange = new CallerExchange(ReferenceCountUtil.retain(message), this.timeouts.requestBegunAt(),
				System.nanoTime(), this::finished);
		if (!this.requests.add(exchange)) {
			exchange.drop(Disconnection.EARLIER_RESPONSE);
			leaveOut();
			return;
		}
		startWaiting();
		if (!exchange.isStarted()) {
			this.events.waited();
		}
		if (!this.requests.hasStarted() && this.requests.hasWaiting()) {
			// What it waits for is that the caller reads, which is limited in time.
			this.timeouts.responseSent();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		this.requests.removeAll().forEach((exchange) -> exchange.drop(this.responses.disconnection()));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		this.responses.close((cause instanceof IOException) ? Disconnection.CALLER : Disconnection.EXCEPTION);
	}

	/**
	 * Closes the connection unless a request on it is in flight or has been read in part.
	 */
	void closeIfIdle() {
		if (this.requests.isEmpty() && !this.timeouts.isReading()) {
			this.responses.closeAfterLastWrite();
		}
	}

	/**
	 * Closes the connection since the caller exceeded a timeout, unless it is still
	 * reading a response.
	 */
	void closeTimedOut() {
		if (this.responses.isWritten()) {
			// A request that waited for the responses to be read is about to start.
			if (this.requests.isEmpty()) {
				this.responses.closeAfterLastWrite();
			}
		}
		else if (this.responses.hasProgressed()) {
			this.timeouts.responseProgressed();
		}
		else {
			this.responses.close(Disconnection.TIMEOUT);
		}
	}

	/**
	 * Returns whether a request or a response would be lost if the process ended now, as
	 * far as is known.
	 * @return whether the end of the connection is awaited
	 */
	boolean isAwaited() {
		return this.responses.isAwaited();
	}

	/**
	 * Reports the last response if the caller may not have received it by the end of the
	 * process.
	 */
	void processEnds() {
		this.responses.processEnds();
	}

	/**
	 * Ends the requests in flight, since the process ends. Those that wait are refused
	 * when their turn comes.
	 */
	void endInFlight() {
		this.ending = true;
		this.requests.started().forEach(CallerExchange::gatewayEnds);
	}

	private void startWaiting() {
		Optional<CallerExchange> next = startNext();
		while (next.isPresent()) {
			next = startNext();
		}
	}

	private Optional<CallerExchange> startNext() {
		boolean concurrent = this.requests.hasStarted();
		Optional<CallerExchange> next = this.requests.startNext(this.processor, this.responses.unsentBytes());
		next.ifPresent((exchange) -> {
			if (concurrent) {
				this.events.startedConcurrently();
			}
			this.timeouts.requestStarted();
			exchange.start(this.processor);
			if (this.ending) {
				exchange.gatewayEnds();
			}
		});
		return next;
	}

	private void scheduleStart() {
		if (this.requests.hasWaiting()) {
			this.context.executor().execute(this::startWaiting);
		}
	}

	private void finished(CallerExchange exchange) {
		this.responses.hold(exchange);
		if (!exchange.keepsAlive()) {
			dropBehind(exchange);
		}
		Optional<CallerExchange> answered = this.requests.removeAnswered();
		while (answered.isPresent()) {
			send(answered.get());
			answered = this.requests.removeAnswered();
		}
		scheduleStart();
	}

	private void send(CallerExchange exchange) {
		if (!this.requests.hasStarted()) {
			this.timeouts.responseSent();
		}
		boolean last = !exchange.keepsAlive()
				|| this.requests.isEmpty() && (this.requests.isEnded() || this.leaving.getAsBoolean());
		if (last && this.cancelled + this.notStarted > 0) {
			this.events.dropped(this.context.channel().remoteAddress(), this.requests.isOverfull(), this.cancelled,
					this.notStarted);
		}
		this.responses.send(exchange, last);
	}

	private void dropBehind(CallerExchange last) {
		List<CallerExchange> dropped = this.requests.removeBehind(last);
		int running = (int) dropped.stream().filter(CallerExchange::isStarted).count();
		this.cancelled += running;
		this.notStarted += dropped.size() - running;
		dropped.forEach((exchange) -> exchange.drop(Disconnection.EARLIER_RESPONSE));
	}

	/**
	 * Leaves out a request that arrives behind the last one. The input behind it is no
	 * longer decoded.
	 */
	private void leaveOut() {
		this.notStarted++;
		if (this.context.pipeline().get(InputDiscarder.class) == null) {
			this.context.pipeline().addFirst(new InputDiscarder());
		}
	}

	/**
	 * Creates the processing of a request.
	 */
	@FunctionalInterface
	interface Processor {

		/**
		 * Creates the processing of a request.
		 * @param caller the exchange, which receives exactly one response
		 * @param request the request, which the processing retains
		 * @return the processing, not yet started
		 */
		Processing create(CallerExchange caller, FullHttpRequest request);

		/**
		 * Returns whether a request that is to be started may run more than once, and so
		 * concurrently with others of its connection.
		 * @param request the request
		 * @return whether the request is known to be idempotent
		 */
		default boolean isIdempotent(FullHttpRequest request) {
			return false;
		}

	}

	/**
	 * Why a caller's connection ended.
	 */
	enum Disconnection {

		/**
		 * The caller closed or reset it.
		 */
		CALLER,

		/**
		 * The caller exceeded a timeout.
		 */
		TIMEOUT,

		/**
		 * The process ended.
		 */
		PROCESS_END,

		/**
		 * A message could not be processed.
		 */
		EXCEPTION,

		/**
		 * The response to an earlier request on it closes it. The other requests end
		 * before it does.
		 */
		EARLIER_RESPONSE;

		/**
		 * Returns whether the gateway ended the connection while a response was due.
		 * @return whether the caller misses a response that it could have received
		 */
		boolean isByGateway() {
			return this != CALLER && this != EARLIER_RESPONSE;
		}

	}

	/**
	 * The processing of one request.
	 */
	interface Processing {

		/**
		 * Starts the processing.
		 */
		void start();

		/**
		 * Returns whether the request may run more than once. It is not known to be if it
		 * was refused, or not yet validated.
		 * @return whether later requests of the connection may run concurrently
		 */
		boolean isIdempotent();

		/**
		 * Handles the loss of the caller's connection.
		 * @param reason why the connection ended
		 */
		void callerDisconnected(Disconnection reason);

		/**
		 * Handles the end of the caller's connection while the response was being
		 * written.
		 * @param reason why the connection ended
		 */
		void responseCut(Disconnection reason);

		/**
		 * Handles the end of a connection that the gateway closed after the response, and
		 * the caller did not.
		 * @param reason why the connection ended
		 */
		void responseUnconfirmed(Disconnection reason);

		/**
		 * Ends the processing with a response, since the process ends.
		 */
		void gatewayEnds();

	}

	/**
	 * Discards the input of a connection.
	 */
	private static final class InputDiscarder extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ReferenceCountUtil.release(message);
		}

	}

}
