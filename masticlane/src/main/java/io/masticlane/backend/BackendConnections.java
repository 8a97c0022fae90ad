package io.masticlane.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.masticlane.configuration.BackendServer;
import io.masticlane.steering.AttemptEnd;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * The pooled connections of one event loop to backend servers. A connection carries one
 * request at a time, and is reused only after a whole answer.
 */
public final class BackendConnections {

	private static final int CONNECT_MILLIS = 1_000;

	private static final int IDLE_CONNECTIONS = 16;

	private final EventLoop loop;

	private final Map<String, Deque<Channel>> idle = new HashMap<>();

	/**
	 * Creates a new pool.
	 * @param loop the event loop of the pool
	 */
	public BackendConnections(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Sends a request.
	 * @param server the backend server
	 * @param request the request, which is released once written
	 * @param receiver the receiver of the answer
	 */
	public void send(BackendServer server, FullHttpRequest request, AnswerReceiver receiver) {
		Channel pooled = takeIdle(server.address());
		if (pooled != null) {
			write(pooled, request, receiver);
			return;
		}
		connect(server).addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				write(connected.channel(), request, receiver);
			}
			else {
				request.release();
				receiver.failed(AttemptEnd.NOT_SENT);
			}
		});
	}

	private Channel takeIdle(String address) {
		Deque<Channel> channels = this.idle.getOrDefault(address, new ArrayDeque<>());
		Channel channel = channels.pollFirst();
		while (channel != null && !channel.isActive()) {
			channel = channels.pollFirst();
		}
		return channel;
	}

	private ChannelFuture connect(BackendServer server) {
		String address = server.address();
		int colon = address.lastIndexOf(':');
		return new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new BackendHandler((whole) -> recycle(address, whole)));
				}
			})
			.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
	}

	private void write(Channel channel, FullHttpRequest request, AnswerReceiver receiver) {
		channel.pipeline().get(BackendHandler.class).begin(receiver);
		receiver.sent(channel);
		channel.writeAndFlush(request);
	}

	private void recycle(String address, Channel channel) {
		Deque<Channel> channels = this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>());
		if (channels.size() < IDLE_CONNECTIONS) {
			channels.addFirst(channel);
		}
		else {
			channel.close();
		}
	}

}
