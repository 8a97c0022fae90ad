package io.masticlane.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Aggregates each request with its body and refuses bodies that are too large.
 */
public final class BodyAggregator extends HttpObjectAggregator {

	/**
	 * Creates a new aggregator.
	 * @param maximumBytes the maximum size of a body in bytes
	 */
	public BodyAggregator(int maximumBytes) {
		super(maximumBytes);
	}

	@Override
	protected Object newContinueResponse(HttpMessage start, int maximumBytes, ChannelPipeline pipeline) {
		return isContentLengthInvalid(start, maximumBytes) ? null
				: super.newContinueResponse(start, maximumBytes, pipeline);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		context.fireChannelRead(RefusedRequest.tooLarge(oversized.headers()));
	}

}
