package io.masticlane.gateway;

import java.util.concurrent.TimeUnit;

import io.masticlane.plan.CallerLimits;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Watches how long a caller takes for a request's head and how long it stays idle. It
 * stands before the decoder, where it sees every byte.
 */
final class ReadTimeoutTracker extends ChannelInboundHandlerAdapter {

	/**
	 * How many times the limit of a head a whole request with its body may take.
	 */
	private static final int BODY_FACTOR = 10;

	private long since;

	private State state = State.IDLE;

	@Override
	public void channelActive(ChannelHandlerContext context) throws Exception {
		this.since = System.nanoTime();
		super.channelActive(context);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.state == State.IDLE) {
			this.state = State.HEAD;
			this.since = System.nanoTime();
		}
		super.channelRead(context, message);
	}

	void headReceived() {
		if (this.state == State.HEAD) {
			this.state = State.BODY;
		}
	}

	void requestReceived() {
		this.state = State.BUSY;
	}

	void responseSent() {
		this.state = State.IDLE;
		this.since = System.nanoTime();
	}

	/**
	 * Returns whether the caller took too long.
	 * @param limits the limits of callers
	 * @param now the present in nanoseconds
	 * @return whether the connection is to be closed
	 */
	boolean isTimedOut(CallerLimits limits, long now) {
		long millis = TimeUnit.NANOSECONDS.toMillis(now - this.since);
		return switch (this.state) {
			case IDLE -> millis > limits.idleTimeoutMillis();
			case HEAD -> millis > limits.headTimeoutMillis();
			case BODY -> millis > limits.headTimeoutMillis() * BODY_FACTOR;
			case BUSY -> false;
		};
	}

	private enum State {

		IDLE, HEAD, BODY, BUSY

	}

}
