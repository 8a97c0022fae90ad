package io.masticlane.caller;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * Closes a connection so that the caller receives the responses on it (RFC 9112, section
 * 9.6). After a plain close, bytes that the caller still sends reset the connection, and
 * both hosts discard what the caller has not read. So only the output ends at first, and
 * input is discarded until the caller closes the connection.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {

	/**
	 * The longest wait for the caller's close after the end of the output.
	 */
	private static final long MAXIMUM_MILLIS = 5_000;

	/**
	 * The number of discarded bytes after which no more are read.
	 */
	private static final long MAXIMUM_DISCARDED_BYTES = 16 * 1024 * 1024;

	private final Consumer<Outcome> listener;

	private long discardedBytes;

	private Outcome outcome = Outcome.CLOSED_BY_CALLER;

	private Future<?> timeout;

	private LingeringClose(Consumer<Outcome> listener) {
		this.listener = listener;
	}

	/**
	 * Closes a connection after a write. Input that arrives from now on is discarded.
	 * @param lastWrite the last write on the connection
	 * @param listener receives the outcome when the connection is closed
	 */
	public static void after(ChannelFuture lastWrite, Consumer<Outcome> listener) {
		LingeringClose handler = new LingeringClose(listener);
		lastWrite.channel().pipeline().addFirst(handler);
		lastWrite.addListener((ChannelFuture written) -> handler.endOutput(written));
	}

	/**
	 * Determines how a connection ends if it ends early, for instance with the process.
	 * While a response is written that ends with its connection, an early end must not
	 * look like the end of the response.
	 * @param connection the connection
	 * @param reset whether the connection is reset, and not closed
	 */
	public static void resetOnClose(Channel connection, boolean reset) {
		if (connection.isActive()) {
			connection.config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf bytes) {
			this.discardedBytes += bytes.readableBytes();
		}
		ReferenceCountUtil.release(message);
		if (this.discardedBytes > MAXIMUM_DISCARDED_BYTES) {
			context.channel().config().setAutoRead(false);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
		this.listener.accept(this.outcome);
		super.channelInactive(context);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		close(context.channel(), Outcome.RESET);
	}

	private void endOutput(ChannelFuture written) {
		Channel channel = written.channel();
		if (!written.isSuccess()) {
			close(channel, Outcome.RESET);
		}
		else if (channel instanceof DuplexChannel duplex) {
			this.timeout = channel.eventLoop()
				.schedule(() -> close(channel, Outcome.TIMED_OUT), MAXIMUM_MILLIS, TimeUnit.MILLISECONDS);
			duplex.shutdownOutput().addListener((ended) -> {
				if (!ended.isSuccess()) {
					close(channel, Outcome.RESET);
				}
			});
		}
		else {
			channel.close();
		}
	}

	private void close(Channel channel, Outcome reason) {
		this.outcome = reason;
		channel.close();
	}

	/**
	 * How a connection ended.
	 */
	public enum Outcome {

		/**
		 * The caller closed it, after it had received everything.
		 */
		CLOSED_BY_CALLER,

		/**
		 * The caller reset it, or it failed.
		 */
		RESET,

		/**
		 * The caller did not close it in time.
		 */
		TIMED_OUT

	}

}
