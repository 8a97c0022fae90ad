package io.masticlane.caller;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

import io.masticlane.backend.BackendConnections;
import io.masticlane.failure.ErrorKind;
import io.masticlane.failure.Refusal;
import io.masticlane.route.RoutingTable;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/**
 * Serves the requests of one caller's connection sequentially.
 */
final class RequestHandler extends ChannelInboundHandlerAdapter {

	/**
	 * The limit of pipelined requests that wait on a connection. Those beyond it are not
	 * run, and the connection is closed after the responses to the others.
	 */
	private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

	private static final String LOOK_UP_PATH = "/v1/entry-hosts";

	private final EntryServices services;

	private final BackendConnections connections;

	private final Deque<Object> pipelined = new ArrayDeque<>();

	private boolean overfull;

	private boolean closing;

	private Exchange current;

	RequestHandler(EntryServices services, BackendConnections connections) {
		this.services = services;
		this.connections = connections;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing || this.overfull) {
			ReferenceCountUtil.release(message);
			return;
		}
		Object next = refuseIfMalformed(message);
		if (this.current != null) {
			enqueue(next);
		}
		else {
			serve(context, next);
		}
	}

	private static Object refuseIfMalformed(Object message) {
		if (message instanceof FullHttpRequest request && request.decoderResult().isFailure()) {
			request.release();
			return RefusedRequest.malformed(request);
		}
		return message;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.current != null) {
			this.current.callerWritabilityChanged(context.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		discardPipelined();
		if (this.current != null) {
			this.current.callerDisconnected();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof RoutingTable table && this.current != null) {
			this.current.keysChanged(table);
		}
		else if (event == CallerServer.END_IN_FLIGHT && this.current != null) {
			this.current.entryHostEnds();
		}
		else if (event == CallerServer.CLOSE_IDLE && this.current == null && !this.closing) {
			closeAfterFlush(context);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		context.close();
	}

	void exchangeCompleted(ChannelHandlerContext context, boolean keepAlive) {
		this.current = null;
		if (!keepAlive || !context.channel().isActive()) {
			closeAfterFlush(context);
			return;
		}
		Object next = this.pipelined.pollFirst();
		if (next != null) {
			serve(context, next);
		}
		else if (this.overfull) {
			closeAfterFlush(context);
		}
	}

	private void closeAfterFlush(ChannelHandlerContext context) {
		this.closing = true;
		discardPipelined();
		LingeringClose.after(context.writeAndFlush(Unpooled.EMPTY_BUFFER), (outcome) -> {
		});
	}

	private void discardPipelined() {
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
	}

	private void enqueue(Object request) {
		if (this.pipelined.size() < MAXIMUM_PIPELINED_REQUESTS) {
			this.pipelined.addLast(request);
		}
		else {
			ReferenceCountUtil.release(request);
			this.overfull = true;
		}
	}

	private void serve(ChannelHandlerContext context, Object message) {
		if (message instanceof RefusedRequest refused) {
			this.closing = true;
			respond(context, Responses.refusal(refused.refusal(), false), false);
			return;
		}
		FullHttpRequest request = (FullHttpRequest) message;
		if (request.uri().equals(LOOK_UP_PATH) && request.method().equals(HttpMethod.GET)) {
			serveLookUp(context, request);
		}
		else {
			this.current = new Exchange(this, context, request, this.services, this.connections);
			this.current.begin();
		}
	}

	private void serveLookUp(ChannelHandlerContext context, FullHttpRequest request) {
		boolean keepAlive = HttpUtil.isKeepAlive(request) && !this.services.leaving().getAsBoolean();
		request.release();
		this.services.metrics().recordLookUp();
		if (this.services.table().get() == null) {
			respond(context, Responses.refusal(Refusal.of(ErrorKind.NOT_READY), keepAlive), keepAlive);
			return;
		}
		InetSocketAddress client = (InetSocketAddress) context.channel().remoteAddress();
		byte[] body = this.services.lookUps().response(client.getAddress());
		respond(context, Responses.json(HttpResponseStatus.OK, body, keepAlive), keepAlive);
	}

	private void respond(ChannelHandlerContext context, FullHttpResponse response, boolean keepAlive) {
		context.writeAndFlush(response);
		exchangeCompleted(context, keepAlive);
	}

}
