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
 * Decodes callers' requests and encodes the answers. Unlike Netty's own codec it refuses
 * a request that states its length in two ways.
 */
public final class CallerCodec extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {

	private final Queue<HttpMethod> methods = new ArrayDeque<>();

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
			int before = out.size();
			super.decode(context, buffer, out);
			out.subList(before, out.size())
				.stream()
				.filter(HttpRequest.class::isInstance)
				.forEach((request) -> CallerCodec.this.methods.add(((HttpRequest) request).method()));
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
		}

	}

	private final class Encoder extends HttpResponseEncoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpResponse response) {
			if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
				return super.isContentAlwaysEmpty(response);
			}
			return HttpMethod.HEAD.equals(CallerCodec.this.methods.poll()) || super.isContentAlwaysEmpty(response);
		}

	}

}
