package io.masticlane.caller;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Decodes requests of callers and encodes responses. Unlike
 * {@link io.netty.handler.codec.http.HttpServerCodec} it rejects a request with both a
 * {@code Content-Length} and a {@code Transfer-Encoding} header.
 */
public final class CallerCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

	private final Queue<HttpMethod> pendingMethods = new ArrayDeque<>();

	/**
	 * Creates a new codec.
	 * @param config the limits of the decoder
	 */
	public CallerCodec(HttpDecoderConfig config) {
		init(new Decoder(config), new Encoder());
	}

	private final class Decoder extends HttpRequestDecoder {

		private Decoder(HttpDecoderConfig config) {
			super(config);
		}

		@Override
		protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
			int previousSize = out.size();
			super.decode(context, buffer, out);
			out.subList(previousSize, out.size())
				.stream()
				.filter(HttpRequest.class::isInstance)
				.forEach((request) -> CallerCodec.this.pendingMethods.add(((HttpRequest) request).method()));
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding headers");
		}

	}

	private final class Encoder extends HttpResponseEncoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpResponse response) {
			if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
				return super.isContentAlwaysEmpty(response);
			}
			return HttpMethod.HEAD.equals(CallerCodec.this.pendingMethods.poll())
					|| super.isContentAlwaysEmpty(response);
		}

	}

}
