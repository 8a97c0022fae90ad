package io.masticlane.backend;

import java.util.function.Consumer;

import io.masticlane.steering.AttemptResult;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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

	private final Consumer<Channel> returnToPool;

	private ResponseReceiver receiver;

	private boolean reusable;

	private boolean informational;

	BackendHandler(Consumer<Channel> returnToPool) {
		this.returnToPool = returnToPool;
	}

	void expectResponse(ResponseReceiver receiver) {
		this.receiver = receiver;
		this.reusable = false;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.receiver == null || ((HttpObject) message).decoderResult().isFailure()) {
			ReferenceCountUtil.release(message);
			context.close();
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
			readContent(context, content);
		}
	}

	private void readContent(ChannelHandlerContext context, HttpContent content) {
		if (this.informational) {
			content.release();
			return;
		}
		ResponseReceiver current = this.receiver;
		if (content instanceof LastHttpContent) {
			this.receiver = null;
			context.channel().config().setAutoRead(true);
			if (this.reusable) {
				this.returnToPool.accept(context.channel());
			}
			else {
				context.close();
			}
		}
		current.contentReceived(content);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		attemptLost();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
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
