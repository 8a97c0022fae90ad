package io.masticlane.gateway;

import java.util.Optional;

import io.masticlane.caller.LingeringClose;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.HttpHeaderNames;

/**
 * Writes the responses of a caller's connection, closes it, and reports the responses
 * that the caller may not have received.
 */
final class ResponseSender {

	private final ChannelHandlerContext context;

	private final Runnable listener;

	/**
	 * The bytes of complete responses that have not left, whether they wait for an
	 * earlier response or for the caller to read.
	 */
	private long unsentBytes;

	private ChannelFuture lastWrite;

	/**
	 * Whether the connection ends after the last write.
	 */
	private boolean closing;

	/**
	 * The processing of the response after which the connection ends, until it is known
	 * whether the caller received it.
	 */
	private Optional<CallerHandler.Processing> unconfirmed = Optional.empty();

	/**
	 * The progress of the response that is being written, when it was last looked at.
	 */
	private long writeProgress;

	private CallerHandler.Disconnection disconnection = CallerHandler.Disconnection.CALLER;

	/**
	 * Creates a sender.
	 * @param context the context of the connection's handler
	 * @param listener called when a response has left
	 */
	ResponseSender(ChannelHandlerContext context, Runnable listener) {
		this.context = context;
		this.listener = listener;
		this.lastWrite = context.newSucceededFuture();
	}

	/**
	 * Counts a response that is complete and is sent later.
	 * @param exchange the exchange
	 */
	void hold(CallerExchange exchange) {
		this.unsentBytes += exchange.responseBytes();
	}

	/**
	 * Writes a response.
	 * @param exchange the exchange, whose response is complete
	 * @param last whether the connection is closed after the response
	 */
	void send(CallerExchange exchange, boolean last) {
		if (last) {
			exchange.response().headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		Channel channel = this.context.channel();
		if (!exchange.isFramed()) {
			LingeringClose.resetOnClose(channel, true);
		}
		this.lastWrite = this.context.writeAndFlush(exchange.response()).addListener((written) -> {
			this.unsentBytes -= exchange.responseBytes();
			if (written.isSuccess()) {
				this.listener.run();
				return;
			}
			this.unconfirmed = Optional.empty();
			if (this.disconnection.isByGateway()) {
				exchange.processing().ifPresent((answered) -> answered.responseCut(this.disconnection));
			}
			this.context.close();
		});
		this.writeProgress = currentWriteProgress();
		if (last) {
			this.unconfirmed = exchange.processing();
			closeAfterLastWrite();
		}
		if (!exchange.isFramed()) {
			this.lastWrite.addListener((written) -> LingeringClose.resetOnClose(channel, false));
		}
	}

	/**
	 * Closes the connection after the last write.
	 */
	void closeAfterLastWrite() {
		if (!this.closing) {
			this.closing = true;
			LingeringClose.after(this.lastWrite, this::connectionClosed);
		}
	}

	/**
	 * Closes the connection at once.
	 * @param reason why it ends
	 */
	void close(CallerHandler.Disconnection reason) {
		this.disconnection = reason;
		this.context.close();
	}

	/**
	 * Reports the last response if the caller may not have received it by the end of the
	 * process.
	 */
	void processEnds() {
		if (!isWritten()) {
			close(CallerHandler.Disconnection.PROCESS_END);
		}
		else {
			reportUnconfirmed(CallerHandler.Disconnection.PROCESS_END);
		}
	}

	/**
	 * Returns the bytes of complete responses that have not left.
	 * @return the number of bytes
	 */
	long unsentBytes() {
		return this.unsentBytes;
	}

	/**
	 * Returns whether the connection ends after the last write.
	 * @return whether nothing more is written
	 */
	boolean isClosing() {
		return this.closing;
	}

	/**
	 * Returns whether all responses were written to the connection.
	 * @return whether no write is pending
	 */
	boolean isWritten() {
		return this.lastWrite.isDone();
	}

	/**
	 * Returns whether a response would be lost if the process ended now, as far as is
	 * known.
	 * @return whether the end of the connection is awaited
	 */
	boolean isAwaited() {
		return !this.closing || !isWritten() || this.unconfirmed.isPresent();
	}

	/**
	 * Returns whether a part of the responses was written since the last call.
	 * @return whether the caller reads
	 */
	boolean hasProgressed() {
		long former = this.writeProgress;
		this.writeProgress = currentWriteProgress();
		return former != this.writeProgress;
	}

	/**
	 * Returns why the connection ended, or would end now.
	 * @return the reason
	 */
	CallerHandler.Disconnection disconnection() {
		return this.disconnection;
	}

	/**
	 * Returns a number that grows with each byte that is written. The progress alone
	 * starts again at zero with each segment of a response.
	 * @return the progress
	 */
	private long currentWriteProgress() {
		ChannelOutboundBuffer unwritten = this.context.channel().unsafe().outboundBuffer();
		return (unwritten != null) ? unwritten.currentProgress() - unwritten.totalPendingWriteBytes() : 0;
	}

	private void connectionClosed(LingeringClose.Outcome outcome) {
		if (outcome == LingeringClose.Outcome.RESET) {
			reportUnconfirmed(CallerHandler.Disconnection.CALLER);
		}
		else if (outcome == LingeringClose.Outcome.TIMED_OUT) {
			reportUnconfirmed(CallerHandler.Disconnection.TIMEOUT);
		}
	}

	private void reportUnconfirmed(CallerHandler.Disconnection reason) {
		this.unconfirmed.ifPresent((answered) -> answered.responseUnconfirmed(reason));
		this.unconfirmed = Optional.empty();
	}

}
