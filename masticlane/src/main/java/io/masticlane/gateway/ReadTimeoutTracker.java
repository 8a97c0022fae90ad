package io.masticlane.gateway;

import java.util.concurrent.TimeUnit;

import io.masticlane.plan.CallerLimits;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Tracks how long a caller takes to send a request and how long its connection is idle.
 * The handler is in the pipeline before the decoder, where it receives every read.
 */
final class ReadTimeoutTracker extends ChannelInboundHandlerAdapter {

	/**
	 * The factor of the head's timeout that a whole request with its body may take.
	 */
	private static final int BODY_TIMEOUT_FACTOR = 10;

	private long stateSince;

	private long requestBegunAt;

	private State state = State.IDLE;

	@Override
	public void channelActive(ChannelHandlerContext context) throws Exception {
		this.stateSince = System.nanoTime();
		super.channelActive(context);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.state == State.IDLE) {
			this.state = State.HEAD;
			this.stateSince = System.nanoTime();
		}
		super.channelRead(context, message);
	}

	void headReceived() {
		if (this.state == State.HEAD) {
			this.state = State.BODY;
		}
	}

	void requestReceived() {
		this.requestBegunAt = isReading() ? this.stateSince : System.nanoTime();
		this.state = State.BUSY;
	}

	void requestStarted() {
		this.state = State.BUSY;
	}

	void responseSent() {
		this.state = State.IDLE;
		this.stateSince = System.nanoTime();
	}

	/**
	 * Restarts the timeout of the current state, since the caller reads a response.
	 */
	void responseProgressed() {
		this.stateSince = System.nanoTime();
	}

	/**
	 * Returns the time at which the first byte of the last request was read.
	 * @return the time in nanoseconds
	 */
	long requestBegunAt() {
		return this.requestBegunAt;
	}

	/**
	 * Returns whether a part of a request was read.
	 * @return whether the rest of a request is awaited
	 */
	boolean isReading() {
		return this.state == State.HEAD || this.state == State.BODY;
	}

	/**
	 * Returns whether the caller exceeded a timeout.
	 * @param limits the limits for callers
	 * @param now the current time in nanoseconds
	 * @return whether the connection is to be closed
	 */
	boolean isTimedOut(CallerLimits limits, long now) {
		long millis = TimeUnit.NANOSECONDS.toMillis(now - this.stateSince);
		return switch (this.state) {
			case IDLE -> millis > limits.idleTimeoutMillis();
			case HEAD -> millis > limits.headTimeoutMillis();
			case BODY -> millis > limits.headTimeoutMillis() * BODY_TIMEOUT_FACTOR;
			case BUSY -> false;
		};
	}

	private enum State {

		IDLE, HEAD, BODY, BUSY

	}

}
