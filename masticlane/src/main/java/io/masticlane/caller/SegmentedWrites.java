package io.masticlane.caller;

import java.util.function.BooleanSupplier;

import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes the segments of a response's body one by one, so that the memory of each is free
 * as soon as its caller has read it. As one buffer, a body of 500 kB would occupy all of
 * its memory for 12 s until the last byte is written to a caller that reads 40 kB/s.
 */
public final class SegmentedWrites extends ChannelOutboundHandlerAdapter {

	private final BooleanSupplier active;

	/**
	 * Creates a handler.
	 * @param active whether responses are written in segments
	 */
	public SegmentedWrites(BooleanSupplier active) {
		this.active = active;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
		if (this.active.getAsBoolean() && message instanceof FullHttpResponse response
				&& response.content() instanceof CompositeByteBuf body && body.numComponents() > 1
				&& body.readableBytes() == body.capacity()) {
			writeSegments(context, response, body, promise);
		}
		else {
			super.write(context, message, promise);
		}
	}

	private static void writeSegments(ChannelHandlerContext context, FullHttpResponse response, CompositeByteBuf body,
			ChannelPromise promise) {
		context.write(new DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers()));
		int last = body.numComponents() - 1;
		for (int segment = 0; segment < last; segment++) {
			context.write(new DefaultHttpContent(body.internalComponent(segment).retain()));
		}
		LastHttpContent end = new DefaultLastHttpContent(body.internalComponent(last).retain(),
				response.trailingHeaders());
		response.release();
		context.write(end, promise);
	}

}
