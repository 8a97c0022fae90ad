package io.masticlane.demo;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * How a stand-in for a backend server answers a request; the request's query names it, as
 * in {@code ?answer=late}.
 */
enum StandInAnswer {

	/**
	 * At once and whole.
	 */
	PROMPT {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.writeAndFlush(response);
		}
	},

	/**
	 * Whole, but a second late.
	 */
	LATE {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.writeAndFlush(response);
		}
	},

	/**
	 * As the answer to another request.
	 */
	CROSSED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			response.headers().set("Masticlane-Request-Id", "another");
			context.writeAndFlush(response);
		}
	},

	/**
	 * Not at all: the connection is closed after the run.
	 */
	LOST {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			response.release();
			context.close();
		}
	},

	/**
	 * Cut before its stated length.
	 */
	TRUNCATED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			writeHead(context, response, HttpHeaderNames.CONTENT_LENGTH.toString(), "1000");
			writeLast(context, response);
		}
	},

	/**
	 * Cut before its last chunk.
	 */
	UNFINISHED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			writeHead(context, response, HttpHeaderNames.TRANSFER_ENCODING.toString(), "chunked");
			writeLast(context, response);
		}
	},

	/**
	 * With the end of the connection as its end.
	 */
	UNSIZED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			writeHead(context, response, HttpHeaderNames.CONNECTION.toString(), "close");
			writeLast(context, response);
		}
	},

	/**
	 * After an informational answer.
	 */
	INFORMED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.EARLY_HINTS));
			context.writeAndFlush(response);
		}
	},

	/**
	 * Followed by a second answer that nobody asked for.
	 */
	DOUBLED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.write(response.copy());
			context.writeAndFlush(response);
		}
	},

	/**
	 * Without a body.
	 */
	EMPTY {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			response.release();
			context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NO_CONTENT));
		}
	};

	private static final long LATE_MILLIS = TimeUnit.SECONDS.toMillis(1);

	/**
	 * Writes the answer.
	 * @param context the context of the connection
	 * @param response the whole answer
	 */
	abstract void write(ChannelHandlerContext context, FullHttpResponse response);

	long delayMillis() {
		return (this == LATE) ? LATE_MILLIS : 0;
	}

	static StandInAnswer of(HttpRequest request) {
		return Arrays.stream(values())
			.filter((each) -> request.uri().endsWith("answer=" + each.name().toLowerCase(Locale.ROOT)))
			.findFirst()
			.orElse(PROMPT);
	}

	private static void writeHead(ChannelHandlerContext context, FullHttpResponse response, String name, String value) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), response.headers());
		head.headers().remove(HttpHeaderNames.CONTENT_LENGTH).set(name, value);
		context.write(head);
	}

	private static void writeLast(ChannelHandlerContext context, FullHttpResponse response) {
		context.writeAndFlush(new DefaultHttpContent(response.content())).addListener(ChannelFutureListener.CLOSE);
	}

}
