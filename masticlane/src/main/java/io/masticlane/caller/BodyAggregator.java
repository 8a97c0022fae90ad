package io.masticlane.caller;

import io.masticlane.failure.ErrorKind;
import io.masticlane.failure.Refusal;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Gathers each request's body, and refuses one that is too large.
 */
final class BodyAggregator extends HttpObjectAggregator {

	BodyAggregator(int maximumBytes) {
		super(maximumBytes);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		context.writeAndFlush(Answers.refusal(Refusal.of(ErrorKind.TOO_LARGE), false))
			.addListener(ChannelFutureListener.CLOSE);
	}

}
