package io.masticlane.client;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.masticlane.memory.MessageBody;
import io.masticlane.memory.MessageMemory;
import io.masticlane.memory.Reservation;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Aggregates each final response with its body. In place of a response that cannot be
 * read to its end, one with a failed {@link FullHttpResponse#decoderResult()} is passed
 * on, after which the connection must be closed.
 */
final class ResponseAggregator extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * The interim responses that may precede a final one. Without a limit a server could
	 * occupy the event loop with them.
	 */
	private static final int MAXIMUM_INTERIM_RESPONSES = 8;

	/**
	 * The number of pieces of a body from which their mean size is checked. Without a
	 * bound a server could occupy the event loop with chunks of a single byte.
	 */
	private static final int CHECKED_PIECES = 1_024;

	private static final int MINIMUM_MEAN_PIECE_BYTES = 16;

	private static final long UNKNOWN_LENGTH = -1;

	private final MessageMemory memory;

	private final BooleanSupplier expecting;

	private final Supplier<Optional<Reservation>> reservations;

	private ChannelHandlerContext context;

	private State state = State.HEAD;

	private HttpResponse head;

	private MessageBody body;

	private int interimResponses;

	private int pieces;

	/**
	 * Creates an aggregator.
	 * @param memory the memory for the bodies of responses
	 * @param expecting whether a call waits for a response; if not, a response closes the
	 * connection
	 */
	ResponseAggregator(MessageMemory memory, BooleanSupplier expecting) {
		this(memory, expecting, Optional::empty);
	}

	/**
	 * Creates an aggregator of responses for whose bodies memory may be reserved.
	 * @param memory the memory for the bodies of responses
	 * @param expecting whether a call waits for a response; if not, a response closes the
	 * connection
	 * @param reservations returns the memory that the call has reserved
	 */
	ResponseAggregator(MessageMemory memory, BooleanSupplier expecting, Supplier<Optional<Reservation>> reservations) {
		this.memory = memory;
		this.expecting = expecting;
		this.reservations = reservations;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) throws Exception {
		discard();
		super.channelInactive(inactive);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext read, HttpObject message) {
		if (this.state == State.FAILED) {
			return;
		}
		if (!this.expecting.getAsBoolean()) {
			this.state = State.FAILED;
			discard();
			read.close();
			return;
		}
		if (message.decoderResult().isFailure()) {
			fail(message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpResponse response) {
			start(response);
		}
		if (message instanceof HttpContent content && this.state != State.FAILED) {
			append(content);
		}
	}

	private void start(HttpResponse response) {
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.state = State.INTERIM;
			if (++this.interimResponses > MAXIMUM_INTERIM_RESPONSES) {
				fail(new TooLongHttpContentException("more than " + MAXIMUM_INTERIM_RESPONSES + " interim responses"));
			}
			return;
		}
		this.state = State.BODY;
		this.pieces = 0;
		this.head = response;
		long length = HttpUtil.getContentLength(response, UNKNOWN_LENGTH);
		Optional<Reservation> reservation = this.reservations.get();
		if (length > reservation.map(Reservation::maximumBytes).orElse(this.memory.limitBytes())) {
			refuseBody();
			return;
		}
		// The length of an error says nothing about the next attempt, which has the same
		// reservation.
		boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		this.body = reservation.map((reserved) -> reserved.newBody(this::refuseBody, success ? length : UNKNOWN_LENGTH))
			.orElseGet(() -> this.memory.newBody(this::refuseBody));
	}

	private void append(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.state == State.INTERIM) {
			this.state = last ? State.HEAD : State.INTERIM;
			return;
		}
		if (!this.body.append(content.content())) {
			refuseBody();
			return;
		}
		if (++this.pieces > CHECKED_PIECES && this.body.length() < (long) this.pieces * MINIMUM_MEAN_PIECE_BYTES) {
			fail(new TooLongHttpContentException(this.pieces + " pieces of " + this.body.length() + " bytes"));
			return;
		}
		if (last) {
			HttpResponse completed = this.head;
			MessageBody completedBody = this.body;
			this.state = State.HEAD;
			this.interimResponses = 0;
			this.head = null;
			this.body = null;
			this.context.fireChannelRead(new DefaultFullHttpResponse(completed.protocolVersion(), completed.status(),
					completedBody.complete(), completed.headers(), ((LastHttpContent) content).trailingHeaders()));
		}
	}

	private void refuseBody() {
		fail(new TooLongHttpContentException("no memory for the body: other messages hold " + this.memory.usedBytes()
				+ " of " + this.memory.limitBytes() + " bytes"));
	}

	private void fail(Throwable cause) {
		this.state = State.FAILED;
		discard();
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY,
				Unpooled.EMPTY_BUFFER);
		response.setDecoderResult(DecoderResult.failure(cause));
		this.context.fireChannelRead(response);
	}

	private void discard() {
		if (this.body != null) {
			this.body.discard();
			this.body = null;
		}
		this.head = null;
	}

	private enum State {

		/**
		 * The head of a response is awaited.
		 */
		HEAD,

		/**
		 * The end of an interim response is awaited.
		 */
		INTERIM,

		/**
		 * The body of a final response is being read.
		 */
		BODY,

		/**
		 * The rest of the connection is ignored.
		 */
		FAILED

	}

}
