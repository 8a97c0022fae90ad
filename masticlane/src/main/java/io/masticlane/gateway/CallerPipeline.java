package io.masticlane.gateway;

import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.masticlane.caller.BodyAggregator;
import io.masticlane.caller.CallerCodec;
import io.masticlane.caller.SegmentedWrites;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AttributeKey;

/**
 * Creates the handlers of a caller's connection.
 */
final class CallerPipeline extends ChannelInitializer<SocketChannel> {

	private static final AttributeKey<ReadTimeoutTracker> TIMEOUTS = AttributeKey.valueOf("clock");

	private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

	/**
	 * The largest head that is read, whatever a plan allows. The decoder of a connection
	 * keeps its limit, and the limit of the plan may change.
	 */
	private static final int MAXIMUM_HEAD_BYTES = 64 * 1024;

	/**
	 * The bytes of a header beside its name and value.
	 */
	private static final int HEADER_OVERHEAD_BYTES = ": \r\n".length();

	private final GatewayContext gateway;

	private final Consumer<Channel> opened;

	/**
	 * Creates the initializer of the connections of all callers.
	 * @param gateway the state that all requests share
	 * @param opened receives each connection
	 */
	CallerPipeline(GatewayContext gateway, Consumer<Channel> opened) {
		this.gateway = gateway;
		this.opened = opened;
	}

	/**
	 * Returns the tracker of a connection's timeouts.
	 * @param channel the connection
	 * @return the tracker
	 */
	static ReadTimeoutTracker timeouts(Channel channel) {
		return channel.attr(TIMEOUTS).get();
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		ReadTimeoutTracker timeouts = new ReadTimeoutTracker();
		channel.attr(TIMEOUTS).set(timeouts);
		channel.pipeline()
			.addLast(timeouts,
					new CallerCodec(new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
						.setMaxHeaderSize(MAXIMUM_HEAD_BYTES)),
					new SegmentedWrites(() -> this.gateway.plan().hasDownloads()),
					new HeadListener(timeouts, () -> this.gateway.plan().limits().maximumHeadBytes()),
					new BodyAggregator(() -> this.gateway.plan().limits().maximumBodyBytes(), this.gateway.memory()),
					new CallerHandler(ProxiedRequest.processor(this.gateway), this.gateway::isLeaving, timeouts,
							new RequestSequence(this.gateway.memory()), this.gateway.pipelineEvents()));
		this.opened.accept(channel);
	}

	/**
	 * Notifies the timeout tracker of a connection when a request's head was decoded, and
	 * marks a head that is larger than the plan in force allows.
	 */
	private static final class HeadListener extends ChannelInboundHandlerAdapter {

		private final ReadTimeoutTracker timeouts;

		private final IntSupplier maximumBytes;

		private HeadListener(ReadTimeoutTracker timeouts, IntSupplier maximumBytes) {
			this.timeouts = timeouts;
			this.maximumBytes = maximumBytes;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
			if (message instanceof HttpRequest request) {
				this.timeouts.headReceived();
				if (request.decoderResult().isSuccess() && headBytes(request) > this.maximumBytes.getAsInt()) {
					request.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException()));
				}
			}
			super.channelRead(context, message);
		}

		private static int headBytes(HttpRequest request) {
			int bytes = 0;
			Iterator<Map.Entry<CharSequence, CharSequence>> headers = request.headers().iteratorCharSequence();
			while (headers.hasNext()) {
				Map.Entry<CharSequence, CharSequence> header = headers.next();
				bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
			}
			return bytes;
		}

	}

}
