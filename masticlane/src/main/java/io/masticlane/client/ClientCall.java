package io.masticlane.client;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.masticlane.memory.Reservation;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A call over a connection of the pool.
 */
public final class ClientCall {

	private final ResponseListener listener;

	private final Optional<Reservation> reservation;

	private Channel channel;

	private boolean ended;

	private boolean written;

	private ConnectionUse use = ConnectionUse.NONE;

	ClientCall(ResponseListener listener, Optional<Reservation> reservation) {
		this.listener = listener;
		this.reservation = reservation;
	}

	/**
	 * Cancels the call and resets its connection; the listener is not notified any more.
	 */
	public void cancel() {
		this.ended = true;
		if (this.channel != null) {
			reset(this.channel);
		}
	}

	/**
	 * Closes a connection and drops the bytes that the other end has not acknowledged.
	 * After an ordinary close they would still be delivered, however much later.
	 * @param channel the connection
	 */
	private static void reset(Channel channel) {
		if (channel.isActive()) {
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		channel.close();
	}

	/**
	 * Returns whether any part of the request may have left this process.
	 * @return whether the request may have reached the other end
	 */
	public boolean isWritten() {
		return this.written;
	}

	/**
	 * Returns whether the connection of the call carried an earlier call. A response that
	 * names no request may then be one to an earlier call.
	 * @return whether the connection was reused
	 */
	public boolean isOnReusedConnection() {
		return this.use.calls() > 1;
	}

	/**
	 * Returns how the call uses its connection.
	 * @return the use, without a connection while the call connects
	 */
	public ConnectionUse use() {
		return this.use;
	}

	void connectStarted(Channel started, boolean repeated) {
		this.channel = started;
		this.use = new ConnectionUse(0, 0, repeated);
	}

	void fail(ResponseListener.Failure failure, String detail) {
		if (!this.ended) {
			this.ended = true;
			this.listener.callFailed(failure, detail);
		}
	}

	/**
	 * The last handler in the pipeline of a connection.
	 */
	static final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {

		/**
		 * The fraction of the idle timeout in the {@code Keep-Alive} header after which
		 * the connection is not reused.
		 */
		private static final double REUSABLE_IDLE_FRACTION = 0.5;

		/**
		 * The number of calls after which a connection is closed, which bounds the memory
		 * for their identifiers.
		 */
		private static final int MAXIMUM_CALLS = 512;

		private static final String KEEP_ALIVE = "Keep-Alive";

		private static final String TIMEOUT = "timeout=";

		private final long number;

		private final ResponseDecoder decoder;

		private final Consumer<Handler> onComplete;

		private final BiConsumer<ConnectionUse, String> unexpectedDataListener;

		private final Runnable closedListener;

		private final SentIdentifiers sentIdentifiers = new SentIdentifiers();

		private ChannelHandlerContext context;

		private ClientCall call;

		private ConnectionUse lastUse = ConnectionUse.NONE;

		private boolean requestWritten;

		private boolean unexpectedResponse;

		private boolean reusable;

		private boolean closedHere;

		private long idleSince = System.nanoTime();

		private long idleTimeoutNanos = Long.MAX_VALUE;

		/**
		 * Creates a handler.
		 * @param number the number of the connection in its pool
		 * @param responsesWithoutBody whether all requests on the connection are HEAD
		 * requests
		 * @param onComplete notified when the connection may carry another call
		 * @param unexpectedDataListener notified of data that no call awaits, with the
		 * last use of the connection
		 * @param closedListener notified if the other end closes the connection while no
		 * call is in progress
		 */
		Handler(long number, boolean responsesWithoutBody, Consumer<Handler> onComplete,
				BiConsumer<ConnectionUse, String> unexpectedDataListener, Runnable closedListener) {
			this.number = number;
			this.onComplete = onComplete;
			this.unexpectedDataListener = unexpectedDataListener;
			this.closedListener = closedListener;
			this.decoder = new ResponseDecoder(responsesWithoutBody, this::isAwaitingResponse, this::discard);
		}

		@Override
		public void handlerAdded(ChannelHandlerContext added) {
			this.context = added;
		}

		ResponseDecoder decoder() {
			return this.decoder;
		}

		/**
		 * Returns whether the connection carried a call with an identifier. A response
		 * with this identifier may then be another one to that call.
		 * @param identifier the identifier
		 * @return whether the connection carried it
		 */
		boolean hasCarried(String identifier) {
			return this.sentIdentifiers.contains(identifier);
		}

		boolean isUnused() {
			return this.lastUse.calls() == 0 && this.context.channel().isActive();
		}

		/**
		 * Sends a request.
		 * @param started the call
		 * @param request the request, which is released
		 * @param identifier the identifier that its response repeats, or empty if the
		 * connection must not be used after it
		 * @param repeated whether another connection was passed over because it had
		 * carried the identifier
		 */
		void send(ClientCall started, FullHttpRequest request, Optional<String> identifier, boolean repeated) {
			started.channel = this.context.channel();
			if (started.ended) {
				request.release();
				close();
				return;
			}
			this.call = started;
			this.requestWritten = false;
			started.written = true;
			this.lastUse = new ConnectionUse(this.number, this.lastUse.calls() + 1, repeated);
			this.reusable = identifier.isPresent() && this.lastUse.calls() < MAXIMUM_CALLS;
			identifier.ifPresent(this.sentIdentifiers::add);
			started.use = this.lastUse;
			this.context.channel()
				.writeAndFlush(request)
				.addListener((ChannelFuture done) -> this.requestWritten = done.isSuccess());
		}

		long idleSince() {
			return this.idleSince;
		}

		/**
		 * Closes the connection if its other end has closed it or soon may.
		 * @param now the current time in nanoseconds
		 * @return whether the connection was closed
		 */
		boolean closeIfUnusable(long now) {
			boolean usable = this.context.channel().isActive() && now - this.idleSince < this.idleTimeoutNanos;
			if (!usable) {
				close();
			}
			return !usable;
		}

		boolean isAwaitingResponse() {
			return this.call != null && !this.call.ended;
		}

		/**
		 * Returns the memory reserved for the response that is awaited.
		 * @return the reservation, or empty if there is none
		 */
		Optional<Reservation> reservation() {
			return isAwaitingResponse() ? this.call.reservation : Optional.empty();
		}

		void close() {
			this.closedHere = true;
			this.context.close();
		}

		void closeOrCancel() {
			if (isAwaitingResponse()) {
				this.call.cancel();
			}
			else {
				close();
			}
		}

		@Override
		protected void channelRead0(ChannelHandlerContext read, FullHttpResponse response) {
			ClientCall activeCall = this.call;
			if (!isAwaitingResponse()) {
				discard("response " + response.status().code());
				return;
			}
			if (response.decoderResult().isFailure()) {
				end(ResponseListener.Failure.MALFORMED, String.valueOf(response.decoderResult().cause()));
				return;
			}
			ResponseListener.Disposition disposition = activeCall.listener.responseReceived(response);
			if (disposition == ResponseListener.Disposition.UNRELATED) {
				this.unexpectedResponse = true;
				return;
			}
			activeCall.ended = true;
			this.call = null;
			if (this.decoder.hasUndecodedData()) {
				discard("data behind a response");
				return;
			}
			if (disposition == ResponseListener.Disposition.DOUBTFUL || this.unexpectedResponse || !this.requestWritten
					|| !this.reusable || !HttpUtil.isKeepAlive(response)) {
				resetHere();
				return;
			}
			updateIdleTimeout(response);
			this.idleSince = System.nanoTime();
			this.onComplete.accept(this);
		}

		@Override
		public void channelInactive(ChannelHandlerContext inactive) {
			end(ResponseListener.Failure.LOST, "the connection was closed");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
			end(ResponseListener.Failure.LOST, String.valueOf(cause));
		}

		/**
		 * Closes the connection because of data that no call awaits.
		 * @param data a description of the data
		 */
		private void discard(String data) {
			if (this.context.channel().isOpen()) {
				resetHere();
				this.unexpectedDataListener.accept(this.lastUse, data);
			}
		}

		private void end(ResponseListener.Failure failure, String detail) {
			ClientCall activeCall = this.call;
			this.call = null;
			reset(this.context.channel());
			if (activeCall != null) {
				activeCall.fail(failure, detail);
			}
			else if (!this.closedHere) {
				this.closedHere = true;
				this.closedListener.run();
			}
		}

		private void resetHere() {
			this.closedHere = true;
			reset(this.context.channel());
		}

		private void updateIdleTimeout(FullHttpResponse response) {
			String keepAlive = response.headers().get(KEEP_ALIVE);
			int start = (keepAlive != null) ? keepAlive.indexOf(TIMEOUT) : -1;
			if (start < 0) {
				return;
			}
			String digits = keepAlive.substring(start + TIMEOUT.length()).split("[^0-9]", 2)[0];
			if (!digits.isEmpty() && digits.length() < 9) {
				this.idleTimeoutNanos = (long) (TimeUnit.SECONDS.toNanos(Long.parseLong(digits))
						* REUSABLE_IDLE_FRACTION);
			}
		}

	}

}
