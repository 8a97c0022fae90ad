package io.masticlane.client;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ProtocolException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.masticlane.memory.MessageMemory;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Makes calls from any thread. The calls of all clients share an event loop, on which
 * they complete. Each call has a connection of its own, which can be opened ahead.
 */
public final class AsyncClient {

	private static final long IDLE_TIMEOUT_MILLIS = 10_000;

	private static final EventLoop LOOP = new MultiThreadIoEventLoopGroup(1,
			new DefaultThreadFactory("async-client", true), NioIoHandler.newFactory())
		.next();

	private final long timeoutMillis;

	private final ConnectionPool connections;

	/**
	 * Creates a client.
	 * @param timeout the timeout of each call, which includes connecting
	 */
	public AsyncClient(Duration timeout) {
		this.timeoutMillis = timeout.toMillis();
		this.connections = new ConnectionPool(LOOP, (int) this.timeoutMillis, IDLE_TIMEOUT_MILLIS,
				MessageMemory.ofHeap(1), (address, lastUse, data) -> {
				});
	}

	/**
	 * Returns the event loop of all clients, for calls whose responses are streamed.
	 * @return the event loop
	 */
	public static EventLoop loop() {
		return LOOP;
	}

	/**
	 * Makes a call. It fails with an {@link IOException} whose class tells how.
	 * @param address the address of the other end
	 * @param request the request, which is released
	 * @return the response, completed on the event loop
	 */
	public CompletableFuture<Response> call(InetSocketAddress address, FullHttpRequest request) {
		CompletableFuture<Response> result = new CompletableFuture<>();
		LOOP.execute(() -> start(address, request, result));
		return result;
	}

	/**
	 * Reads a resource.
	 * @param address the address of the other end, as a host and a port
	 * @param path the path of the resource
	 * @return the response, completed on the event loop
	 * @see #call(InetSocketAddress, FullHttpRequest)
	 */
	public CompletableFuture<Response> get(String address, String path) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
		request.headers().set(HttpHeaderNames.HOST, address);
		int colon = address.lastIndexOf(':');
		return call(InetSocketAddress.createUnresolved(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1))), request);
	}

	/**
	 * Opens a connection ahead of the next call to an address.
	 * @param address the address
	 */
	public void prepare(InetSocketAddress address) {
		LOOP.execute(() -> this.connections.prepare(address));
	}

	private void start(InetSocketAddress address, FullHttpRequest request, CompletableFuture<Response> result) {
		ClientCall call = this.connections.call(address, request, Optional.empty(), IDLE_TIMEOUT_MILLIS / 2,
				new Listener(result));
		Future<?> timeout = LOOP.schedule(() -> {
			call.cancel();
			// The fault that stalled this connection may affect the idle ones as well.
			this.connections.closeIdle(address);
			result
				.completeExceptionally(new SocketTimeoutException("no response within " + this.timeoutMillis + " ms"));
		}, this.timeoutMillis, TimeUnit.MILLISECONDS);
		result.whenComplete((response, failure) -> timeout.cancel(false));
	}

	/**
	 * A response.
	 *
	 * @param status the status
	 * @param body the body
	 */
	public record Response(int status, byte[] body) {
	}

	/**
	 * Completes the result of a call.
	 */
	private record Listener(CompletableFuture<Response> result) implements ResponseListener {

		@Override
		public Disposition responseReceived(FullHttpResponse response) {
			this.result.complete(new Response(response.status().code(), ByteBufUtil.getBytes(response.content())));
			return Disposition.COMPLETE;
		}

		@Override
		public void callFailed(Failure failure, String detail) {
			IOException cause = switch (failure) {
				case NOT_SENT -> new ConnectException();
				case LOST -> new EOFException(detail);
				case MALFORMED -> new ProtocolException(detail);
			};
			this.result.completeExceptionally(cause);
		}

	}

}
