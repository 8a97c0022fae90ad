package io.masticlane.demo;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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
 * How a stand-in for a backend server responds to a request. The query of the request
 * selects it, as in {@code ?answer=late}.
 */
enum StandInResponse {

	/**
	 * Sends a complete response without an additional delay.
	 */
	PROMPT {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.writeAndFlush(response);
		}
	},

	/**
	 * Sends a complete response after an additional delay of one second.
	 */
	LATE {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.writeAndFlush(response);
		}
	},

	/**
	 * Sends a complete response after an additional delay of 30 seconds.
	 */
	STALLED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.writeAndFlush(response);
		}
	},

	/**
	 * Sends a complete response with a body of 100 kB.
	 */
	LARGE {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			FullHttpResponse large = response.replace(Unpooled.wrappedBuffer(new byte[LARGE_BODY_BYTES]));
			large.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, LARGE_BODY_BYTES);
			response.release();
			context.writeAndFlush(large);
		}
	},

	/**
	 * Sends a response with the request identifier of a different request, which reports
	 * that the server is leaving.
	 */
	CROSSED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			response.headers().set(REQUEST_ID, "another").set("Backend-State", "leaving");
			context.writeAndFlush(response);
		}
	},

	/**
	 * Runs the request, then closes the connection without a response.
	 */
	LOST {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			response.release();
			context.close();
		}
	},

	/**
	 * Closes the connection before the body has the length that the header states.
	 */
	TRUNCATED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			writeHead(context, response, HttpHeaderNames.CONTENT_LENGTH.toString(), "1000");
			writeContentAndClose(context, response);
		}
	},

	/**
	 * Closes the connection before the terminating chunk of a chunked body.
	 */
	UNFINISHED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			writeHead(context, response, HttpHeaderNames.TRANSFER_ENCODING.toString(), "chunked");
			writeContentAndClose(context, response);
		}
	},

	/**
	 * Sends a body that is delimited by the end of the connection.
	 */
	UNSIZED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			writeHead(context, response, HttpHeaderNames.CONNECTION.toString(), "close");
			writeContentAndClose(context, response);
		}
	},

	/**
	 * Sends a part of a body that is delimited by the end of the connection, and resets
	 * the connection when the part has been received.
	 */
	RESET {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			writeHead(context, response, HttpHeaderNames.CONNECTION.toString(), "close");
			context.writeAndFlush(new DefaultHttpContent(response.content()));
			context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
			context.executor().schedule((Runnable) context::close, RESET_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
	},

	/**
	 * Sends an informational (1xx) response before the final one.
	 */
	INFORMED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.EARLY_HINTS));
			context.writeAndFlush(response);
		}
	},

	/**
	 * Sends the response twice, the second one without a request.
	 */
	DOUBLED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			context.write(response.copy());
			context.writeAndFlush(response);
		}
	},

	/**
	 * Sends a response without a body.
	 */
	EMPTY {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			response.release();
			FullHttpResponse empty = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NO_CONTENT);
			empty.headers().set(REQUEST_ID, response.headers().get(REQUEST_ID, ""));
			context.writeAndFlush(empty);
		}
	},

	/**
	 * Sends a complete response, and a copy without the identifier when the next request
	 * is received on the connection.
	 */
	REPEATED {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			writeAheadOfNextResponse(context, response.copy());
			context.writeAndFlush(response);
		}
	},

	/**
	 * Sends a complete response, and the copy of an earlier refusal without its
	 * identifier when the next request is received on the connection.
	 */
	REFUSED_BEFORE {
		@Override
		void write(ChannelHandlerContext context, FullHttpResponse response) {
			FullHttpResponse refusal = response.copy().setStatus(HttpResponseStatus.SERVICE_UNAVAILABLE);
			refusal.headers().set("Request-Outcome", "not-run");
			writeAheadOfNextResponse(context, refusal);
			context.writeAndFlush(response);
		}
	};

	private static final String REQUEST_ID = "Masticlane-Request-Id";

	private static final int LARGE_BODY_BYTES = 100_000;

	private static final long RESET_DELAY_MILLIS = 50;

	private static final long LATE_DELAY_MILLIS = TimeUnit.SECONDS.toMillis(1);

	private static final long STALLED_DELAY_MILLIS = TimeUnit.SECONDS.toMillis(30);

	/**
	 * Writes the response.
	 * @param context the channel handler context of the connection
	 * @param response the complete response
	 */
	abstract void write(ChannelHandlerContext context, FullHttpResponse response);

	long delayMillis() {
		return switch (this) {
			case LATE -> LATE_DELAY_MILLIS;
			case STALLED -> STALLED_DELAY_MILLIS;
			default -> 0;
		};
	}

	static StandInResponse of(HttpRequest request) {
		return Arrays.stream(values())
			.filter((each) -> request.uri().endsWith("answer=" + each.name().toLowerCase(Locale.ROOT)))
			.findFirst()
			.orElse(PROMPT);
	}

	private static void writeAheadOfNextResponse(ChannelHandlerContext context, FullHttpResponse copy) {
		copy.headers().remove(REQUEST_ID);
		context.pipeline().addBefore(context.name(), null, new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext read, Object message) {
				read.writeAndFlush(copy);
				read.fireChannelRead(message);
				read.pipeline().remove(this);
			}
		});
	}

	private static void writeHead(ChannelHandlerContext context, FullHttpResponse response, String name, String value) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status(), response.headers());
		head.headers().remove(HttpHeaderNames.CONTENT_LENGTH).set(name, value);
		context.write(head);
	}

	private static void writeContentAndClose(ChannelHandlerContext context, FullHttpResponse response) {
		context.writeAndFlush(new DefaultHttpContent(response.content())).addListener(ChannelFutureListener.CLOSE);
	}

}
