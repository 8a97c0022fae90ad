package io.masticlane.backend;

import java.util.function.Consumer;

import io.masticlane.client.ResponseDecoder;
import io.masticlane.steering.AttemptResult;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes the responses received on one connection to the receiver of the current request.
 */
final class BackendHandler extends ChannelInboundHandlerAdapter {

	private final ResponseDecoder decoder;

	private final Consumer<Channel> returnToPool;

	private ChannelHandlerContext context;

	private ResponseReceiver receiver;

	private boolean requestWritten;

	private boolean reusable;

	private boolean informational;

	/**
	 * Creates a handler.
	 * @param responsesWithoutBody whether all requests on the connection are HEAD
	 * requests
	 * @param returnToPool notified when the connection may carry another request
	 */
	BackendHandler(boolean responsesWithoutBody, Consumer<Channel> returnToPool) {
		this.decoder = new ResponseDecoder(responsesWithoutBody, () -> this.receiver != null,
				(data) -> this.context.close());
		this.returnToPool = returnToPool;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	ResponseDecoder decoder() {
		return this.decoder;
	}

	void send(FullHttpRequest request, ResponseReceiver responseReceiver) {
		this.receiver = responseReceiver;
		this.reusable = false;
		this.requestWritten = false;
		this.context.channel()
			.writeAndFlush(request)
			.addListener((ChannelFuture done) -> this.requestWritten = done.isSuccess());
	}

	@Override
	public void channelRead(ChannelHandlerContext read, Object message) {
		if (this.receiver == null || ((HttpObject) message).decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			read.close();
			attemptLost();
			return;
		}
		if (message instanceof HttpResponse head) {
			this.informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			if (!this.informational) {
				boolean keepAlive = HttpUtil.isKeepAlive(head);
				this.reusable = this.receiver.headReceived(head) && keepAlive;
			}
		}
		if (message instanceof HttpContent content) {
			readContent(content);
		}
	}

	private void readContent(HttpContent content) {
		if (this.informational) {
			content.release();
			return;
		}
		ResponseReceiver current = this.receiver;
		boolean last = content instanceof LastHttpContent;
		if (last) {
			this.receiver = null;
		}
		current.contentReceived(content);
		if (last) {
			responseCompleted();
		}
	}

	private void responseCompleted() {
		Channel connection = this.context.channel();
		connection.config().setAutoRead(true);
		if (this.reusable && this.requestWritten && !this.decoder.hasUndecodedData()) {
			this.returnToPool.accept(connection);
		}
		else {
			connection.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		attemptLost();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		caught.close();
		attemptLost();
	}

	private void attemptLost() {
		ResponseReceiver current = this.receiver;
		this.receiver = null;
		if (current != null) {
			current.attemptFailed(AttemptResult.LOST);
		}
	}

}
