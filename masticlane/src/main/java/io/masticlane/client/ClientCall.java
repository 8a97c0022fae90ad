package io.masticlane.client;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A call that was made over a connection of the pool.
 */
public final class ClientCall {

	private final ResponseListener listener;

	private Channel channel;

	private boolean ended;

	private boolean written;

	ClientCall(ResponseListener listener) {
		this.listener = listener;
	}

	/**
	 * Gives the call up and closes its connection; the listener hears nothing more.
	 */
	public void cancel() {
		this.ended = true;
		ConnectionPool.closeQuietly(this.channel);
	}

	/**
	 * Returns whether any of the request may have left this process.
	 * @return whether the request may have reached the other end
	 */
	public boolean isWritten() {
		return this.written;
	}

	void connecting(Channel connecting) {
		this.channel = connecting;
	}

	void fail(ResponseListener.Failure failure, String detail) {
		if (!this.ended) {
			this.ended = true;
			this.listener.callFailed(failure, detail);
		}
	}

	/**
	 * The end of a connection's pipeline.
	 */
	static final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {

		/**
		 * The part of a connection's announced idle time after which it is not reused.
		 */
		private static final double KEPT_PART = 0.5;

		private static final String KEEP_ALIVE = "Keep-Alive";

		private static final String TIMEOUT = "timeout=";

		private final Consumer<Handler> whole;

		private ChannelHandlerContext context;

		private ClientCall call;

		private boolean requestWritten;

		private boolean doubtful;

		private long idleSince;

		private long idleNanos = Long.MAX_VALUE;

		Handler(Consumer<Handler> whole) {
			this.whole = whole;
		}

		@Override
		public void handlerAdded(ChannelHandlerContext added) {
			this.context = added;
		}

		void send(ClientCall begun, FullHttpRequest request) {
			begun.channel = this.context.channel();
			if (begun.ended) {
				request.release();
				close();
				return;
			}
			this.call = begun;
			this.requestWritten = false;
			begun.written = true;
			this.context.channel()
				.writeAndFlush(request)
				.addListener((ChannelFuture done) -> this.requestWritten = done.isSuccess());
		}

		long idleSince() {
			return this.idleSince;
		}

		boolean isUsable(long now) {
			return this.context.channel().isActive() && now - this.idleSince < this.idleNanos;
		}

		void close() {
			this.context.close();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext read, FullHttpResponse answer) {
			if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL && answer.decoderResult().isSuccess()) {
				return;
			}
			ClientCall current = this.call;
			if (current == null || current.ended) {
				read.close();
				return;
			}
			if (answer.decoderResult().isFailure()) {
				end(ResponseListener.Failure.MALFORMED, String.valueOf(answer.decoderResult().cause()));
				return;
			}
			if (!current.listener.responseReceived(answer)) {
				this.doubtful = true;
				return;
			}
			current.ended = true;
			this.call = null;
			if (this.doubtful || !this.requestWritten || !HttpUtil.isKeepAlive(answer)) {
				read.close();
				return;
			}
			announcedIdleTime(answer);
			this.idleSince = System.nanoTime();
			this.whole.accept(this);
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
			ClientCall current = this.call;
			this.call = null;
			this.context.close();
			if (current != null) {
				current.fail(failure, detail);
			}
		}

		private void announcedIdleTime(FullHttpResponse answer) {
			String announced = answer.headers().get(KEEP_ALIVE);
			int start = (announced != null) ? announced.indexOf(TIMEOUT) : -1;
			if (start < 0) {
				return;
			}
			String digits = announced.substring(start + TIMEOUT.length()).split("[^0-9]", 2)[0];
			if (!digits.isEmpty() && digits.length() < 9) {
				this.idleNanos = (long) (TimeUnit.SECONDS.toNanos(Long.parseLong(digits)) * KEPT_PART);
			}
		}

	}

}
