package io.masticlane.gateway;

import java.io.IOException;
import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Handles the connection of a caller and processes its requests one after the other.
 */
final class CallerHandler extends SimpleChannelInboundHandler<Object> {

	private final Processor processor;

	private final BooleanSupplier leaving;

	private final ReadTimeoutTracker timeouts;

	private final RequestSequence requests = new RequestSequence();

	private ChannelHandlerContext context;

	private ResponseSender responses;

	/**
	 * Creates a handler.
	 * @param processor starts the processing of each request
	 * @param leaving whether the gateway is leaving, after which connections are closed
	 * @param timeouts tracks the timeouts of the connection
	 */
	CallerHandler(Processor processor, BooleanSupplier leaving, ReadTimeoutTracker timeouts) {
		this.processor = processor;
		this.leaving = leaving;
		this.timeouts = timeouts;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		this.responses = new ResponseSender(added);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext read, Object message) {
		if (this.responses.isClosing() || this.requests.isOverfull()) {
			// The connection ends with an earlier response.
			return;
		}
		this.timeouts.requestReceived();
		boolean first = this.requests.isEmpty();
		CallerExchange exchange = new CallerExchange(ReferenceCountUtil.retain(message), this::finished);
		if (!this.requests.add(exchange)) {
			exchange.discard();
		}
		else if (first) {
			startNext();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		this.requests.discardWaiting();
		this.requests.removeStarted()
			.map(CallerExchange::processing)
			.ifPresent((processing) -> processing.callerDisconnected(this.responses.disconnection()));
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
			closeAfterLastWrite();
		}
	}

	/**
	 * Closes the connection since the caller exceeded a timeout, unless it is still
	 * reading a response.
	 */
	void closeTimedOut() {
		if (this.responses.isWritten()) {
			closeAfterLastWrite();
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
	 * Ends the request in flight, if there is one, since the process ends.
	 */
	void endInFlight() {
		this.requests.started().map(CallerExchange::processing).ifPresent(Processing::gatewayEnds);
	}

	private void startNext() {
		this.requests.startNext().ifPresent((next) -> next.start(this.processor, this.timeouts.requestBegunAt()));
	}

	private void finished(CallerExchange exchange) {
		this.requests.removeStarted();
		this.timeouts.responseSent();
		boolean last = !exchange.keepsAlive()
				|| !this.requests.hasWaiting() && (this.requests.isOverfull() || this.leaving.getAsBoolean());
		this.responses.send(exchange, last);
		if (last) {
			this.requests.discardWaiting();
		}
		else if (this.requests.hasWaiting()) {
			this.context.executor().execute(this::startWaiting);
		}
	}

	private void startWaiting() {
		if (this.requests.hasWaiting()) {
			this.timeouts.requestReceived();
			startNext();
		}
	}

	private void closeAfterLastWrite() {
		this.requests.discardWaiting();
		this.responses.closeAfterLastWrite();
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
		EXCEPTION

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

}
