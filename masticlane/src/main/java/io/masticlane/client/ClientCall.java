package io.masticlane.client;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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

	private Channel channel;

	private boolean ended;

	private boolean written;

	private ConnectionUse use = ConnectionUse.NONE;

	ClientCall(ResponseListener listener) {
		this.listener = listener;
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
	 * @return the use, or {@link ConnectionUse#NONE} before the call has a connection
	 */
	public ConnectionUse use() {
		return this.use;
	}

	void connectStarted(Channel started) {
		this.channel = started;
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

		private static final String KEEP_ALIVE = "Keep-Alive";

		private static final String TIMEOUT = "timeout=";

		private final long number;

		private final Consumer<Handler> onComplete;

		private final SentIdentifiers sentIdentifiers = new SentIdentifiers();

		private ChannelHandlerContext context;

		private ClientCall call;

		private ConnectionUse lastUse = ConnectionUse.NONE;

		private boolean requestWritten;

		private boolean unexpectedResponse;

		private long idleSince;

		private long idleTimeoutNanos = Long.MAX_VALUE;

		Handler(long number, Consumer<Handler> onComplete) {
			this.number = number;
			this.onComplete = onComplete;
		}

		@Override
		public void handlerAdded(ChannelHandlerContext added) {
			this.context = added;
		}

		void send(ClientCall started, FullHttpRequest request, Optional<String> identifier) {
			started.channel = this.context.channel();
			if (started.ended) {
				request.release();
				close();
				return;
			}
			this.call = started;
			this.requestWritten = false;
			started.written = true;
			this.lastUse = new ConnectionUse(this.number, this.lastUse.calls() + 1,
					identifier.filter(this.sentIdentifiers::contains).isPresent());
			identifier.ifPresent(this.sentIdentifiers::add);
			started.use = this.lastUse;
			this.context.channel()
				.writeAndFlush(request)
				.addListener((ChannelFuture done) -> this.requestWritten = done.isSuccess());
		}

		ConnectionUse lastUse() {
			return this.lastUse;
		}

		long idleSince() {
			return this.idleSince;
		}

		boolean isUsable(long now) {
			return this.context.channel().isActive() && now - this.idleSince < this.idleTimeoutNanos;
		}

		boolean isAwaitingResponse() {
			return this.call != null && !this.call.ended;
		}

		void close() {
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
				read.close();
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
			if (disposition == ResponseListener.Disposition.DOUBTFUL || this.unexpectedResponse || !this.requestWritten
					|| !HttpUtil.isKeepAlive(response)) {
				reset(read.channel());
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

		private void end(ResponseListener.Failure failure, String detail) {
			ClientCall activeCall = this.call;
			this.call = null;
			reset(this.context.channel());
			if (activeCall != null) {
				activeCall.fail(failure, detail);
			}
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
