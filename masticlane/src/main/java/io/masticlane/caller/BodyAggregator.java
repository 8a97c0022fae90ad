package io.masticlane.caller;

import java.util.function.IntSupplier;

import io.masticlane.memory.MessageBody;
import io.masticlane.memory.MessageMemory;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Aggregates each request with its body. A {@link RefusedRequest} takes the place of a
 * request whose body is too large, or for whose body there is no memory.
 */
public final class BodyAggregator extends SimpleChannelInboundHandler<HttpObject> {

	private final IntSupplier maximumBytes;

	private final MessageMemory memory;

	private ChannelHandlerContext context;

	private HttpRequest head;

	private MessageBody body;

	private int limitAtStart;

	/**
	 * Creates a new aggregator.
	 * @param maximumBytes returns the maximum size of a body in bytes, which may change
	 * between two requests
	 * @param memory the memory for the bodies of requests
	 */
	public BodyAggregator(IntSupplier maximumBytes, MessageMemory memory) {
		this.maximumBytes = maximumBytes;
		this.memory = memory;
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
		if (message instanceof FullHttpRequest) {
			read.fireChannelRead(ReferenceCountUtil.retain(message));
			return;
		}
		if (message instanceof HttpRequest request) {
			start(request);
		}
		if (message instanceof HttpContent content && this.head != null) {
			append(content);
		}
	}

	private void start(HttpRequest request) {
		discard();
		if (request.decoderResult().isFailure()) {
			passOnMalformed(request, request.decoderResult());
			return;
		}
		this.head = request;
		this.body = this.memory.newBody(this::refuseForMemory);
		this.limitAtStart = this.maximumBytes.getAsInt();
		long length = HttpUtil.getContentLength(request, 0L);
		if (length > this.limitAtStart) {
			refuse(RefusedRequest.tooLarge(request.headers()));
		}
		else if (length > this.memory.limitBytes()) {
			refuseForMemory();
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			request.headers().remove(HttpHeaderNames.EXPECT);
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void append(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			HttpRequest failed = this.head;
			discard();
			passOnMalformed(failed, content.decoderResult());
		}
		else if (this.body.length() + content.content().readableBytes() > Math.max(this.limitAtStart,
				this.maximumBytes.getAsInt())) {
			refuse(RefusedRequest.tooLarge(this.head.headers()));
		}
		else if (!this.body.append(content.content())) {
			refuseForMemory();
		}
		else if (content instanceof LastHttpContent last) {
			HttpRequest completed = this.head;
			MessageBody completedBody = this.body;
			this.head = null;
			this.body = null;
			FullHttpRequest request = new DefaultFullHttpRequest(completed.protocolVersion(), completed.method(),
					completed.uri(), completedBody.complete(), completed.headers(), last.trailingHeaders());
			HttpUtil.setTransferEncodingChunked(request, false);
			HttpUtil.setContentLength(request, request.content().readableBytes());
			this.context.fireChannelRead(request);
		}
	}

	private void passOnMalformed(HttpRequest request, DecoderResult failure) {
		FullHttpRequest malformed = new DefaultFullHttpRequest(request.protocolVersion(), request.method(),
				request.uri(), Unpooled.EMPTY_BUFFER, request.headers(), EmptyHttpHeaders.INSTANCE);
		malformed.setDecoderResult(failure);
		this.context.fireChannelRead(malformed);
	}

	private void refuseForMemory() {
		refuse(RefusedRequest.saturated(this.head.headers()));
	}

	private void refuse(RefusedRequest refused) {
		discard();
		this.context.fireChannelRead(refused);
	}

	private void discard() {
		this.head = null;
		if (this.body != null) {
			this.body.discard();
			this.body = null;
		}
	}

}
