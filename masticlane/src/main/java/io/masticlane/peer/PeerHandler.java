package io.masticlane.peer;

import java.io.IOException;

import io.masticlane.event.Event;
import io.masticlane.event.EventLog;
import io.masticlane.message.MalformedMessageException;
import io.masticlane.message.Message;
import io.masticlane.message.MessageFrame;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.ReadTimeoutException;

/**
 * Decodes the messages of one connection. The first message must be a greeting.
 */
final class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> {

	private final PeerNetwork network;

	private final Peer self;

	private final PeerListener listener;

	private final EventLog events;

	private Peer peer;

	private String closeReason = "closed by the peer";

	PeerHandler(PeerNetwork network, Peer self, PeerListener listener, EventLog events) {
		this.network = network;
		this.self = self;
		this.listener = listener;
		this.events = events;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		PeerNetwork.write(context.channel(),
				new Message.Greeting(Message.PROTOCOL_VERSION, this.self.host(), this.self.incarnation()));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
		this.network.messageReceived(context.channel());
		byte[] payload = new byte[frame.readableBytes()];
		frame.readBytes(payload);
		Message message = MessageFrame.decode(payload);
		if (message instanceof Message.Greeting greeting) {
			handleGreeting(context, greeting);
		}
		else if (this.peer == null) {
			throw new MalformedMessageException("message received before the greeting");
		}
		if (this.peer != null) {
			this.listener.messageReceived(this.peer, message);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.network.connectionClosed(context.channel(), this.closeReason);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.closeReason = (cause instanceof ReadTimeoutException) ? "silent" : cause.toString();
		if (cause instanceof MalformedMessageException || cause instanceof DecoderException) {
			this.events.record(Event.PEER_MALFORMED, context.channel().remoteAddress(), cause.getMessage());
		}
		context.close();
	}

	private void handleGreeting(ChannelHandlerContext context, Message.Greeting greeting) throws IOException {
		if (greeting.protocolVersion() != Message.PROTOCOL_VERSION) {
			throw new MalformedMessageException("unsupported protocol version " + greeting.protocolVersion()
					+ ", expected " + Message.PROTOCOL_VERSION);
		}
		Peer sender = new Peer(greeting.host(), greeting.incarnation());
		if (sender.equals(this.self)) {
			context.close();
			return;
		}
		this.peer = sender;
		this.network.connectionGreeted(context.channel(), sender);
	}

}
