package io.masticlane.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.masticlane.event.Event;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.FaultProxy;
import io.masticlane.message.Message;
import io.masticlane.message.MessageFrame;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class PeerNetworkTests {

	private static final int IDLE_TIMEOUT_MILLIS = 1_000;

	private final List<Event> events = new CopyOnWriteArrayList<>();

	private final List<Message> received = new CopyOnWriteArrayList<>();

	private EventLoopGroup eventLoops;

	private PeerNetwork network;

	private Channel listening;

	@BeforeMethod
	public void start() {
		this.events.clear();
		this.received.clear();
		this.eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.network = network("entry-1");
		this.listening = this.network.listen(new InetSocketAddress("127.0.0.1", 0));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.eventLoops.shutdownGracefully();
	}

	@Test(dataProvider = "malformed")
	public void aMalformedFrameClosesOnlyItsConnection(String description, byte[][] frames) throws IOException {
		try (Socket sender = connect()) {
			DataOutputStream output = new DataOutputStream(sender.getOutputStream());
			for (byte[] frame : frames) {
				output.write(frame);
			}
			output.flush();
			Await.until("the connection is closed", () -> sender.getInputStream().read() < 0);
		}
		Await.until("the event is recorded", () -> this.events.equals(List.of(Event.PEER_MALFORMED)));
		assertAnotherPeerConnects();
	}

	@DataProvider
	public Object[][] malformed() {
		byte[] greeting = framed(MessageFrame.encode(new Message.Greeting(Message.PROTOCOL_VERSION, "entry-9", "i")));
		byte[] truncated = MessageFrame.encode(new Message.ConfigurationQuery(1_000_000));
		byte[] unsupported = framed(
				MessageFrame.encode(new Message.Greeting(Message.PROTOCOL_VERSION + 1, "entry-9", "i")));
		return new Object[][] { { "truncated MessagePack", new byte[][] { greeting, framed(copy(truncated, 3)) } },
				{ "a frame of 2 GiB", new byte[][] { { 0x7f, -1, -1, -1 } } },
				{ "a negative length", new byte[][] { { -1, -1, -1, -1 } } },
				{ "an unknown tag", new byte[][] { greeting, framed(new byte[] { (byte) 0x91, 0x7f }) } },
				{ "no MessagePack", new byte[][] { greeting, framed(new byte[] { (byte) 0xc1 }) } },
				{ "an empty frame", new byte[][] { greeting, framed(new byte[0]) } },
				{ "a binary of 2 GiB",
						new byte[][] { greeting,
								framed(new byte[] { (byte) 0x93, 4, 1, (byte) 0xc6, 0x7f, -1, -1, -1 }) } },
				{ "another protocol version", new byte[][] { unsupported } },
				{ "a message before the greeting", new byte[][] { framed(truncated) } } };
	}

	@Test
	public void anUnresponsiveConnectionIsReplaced() {
		FaultProxy proxy = new FaultProxy(new InetSocketAddress("127.0.0.1", 0), address());
		PeerNetwork other = network("entry-2");
		other.listen(new InetSocketAddress("127.0.0.1", 0));
		other.dial(List.of(proxy.address()));
		Await.until("the peer is reached", () -> other.send("entry-1", query(1)));
		proxy.discardOnOpenConnections();
		Await.until("the unresponsive connection is closed", () -> !other.send("entry-1", query(2)));
		Await.until("a new connection is in use", () -> other.send("entry-1", query(3)));
		Await.until("the message arrives", () -> this.received.contains(query(3)));
		proxy.close();
	}

	@Test
	public void aPeerThatReadsNothingUsesLittleMemoryAndItsDroppedMessagesAreCounted() throws IOException {
		byte[] document = new byte[512 * 1024];
		try (Socket slow = connect()) {
			slow.getOutputStream()
				.write(framed(MessageFrame.encode(new Message.Greeting(Message.PROTOCOL_VERSION, "entry-9", "i"))));
			Await.until("the greeting is processed", () -> this.network.send("entry-9", query(1)));
			int sent = 0;
			for (int index = 0; index < 1_000; index++) {
				sent += this.network.send("entry-9", new Message.ConfigurationPush(1, document)) ? 1 : 0;
			}
			assertTrue(sent < 100, sent + " documents were accepted for sending");
			assertTrue(this.network.dropped() >= 1_000 - sent);
			assertFalse(slow.isClosed());
		}
	}

	private void assertAnotherPeerConnects() throws IOException {
		try (Socket peer = connect()) {
			peer.getOutputStream()
				.write(framed(MessageFrame.encode(new Message.Greeting(Message.PROTOCOL_VERSION, "entry-8", "i"))));
			Await.until("another peer is connected", () -> this.network.send("entry-8", query(1)));
		}
		assertEquals(this.events.size(), 1);
	}

	private PeerNetwork network(String host) {
		return new PeerNetwork(this.eventLoops, new Peer(host, "incarnation-of-" + host), IDLE_TIMEOUT_MILLIS,
				new PeerListener() {
					@Override
					public void messageReceived(Peer peer, Message message) {
						PeerNetworkTests.this.received.add(message);
					}

					@Override
					public void peerLost(Peer peer, String reason) {
					}
				}, (event, arguments) -> this.events.add(event));
	}

	private Socket connect() throws IOException {
		return new Socket("127.0.0.1", address().getPort());
	}

	private InetSocketAddress address() {
		return (InetSocketAddress) this.listening.localAddress();
	}

	private static Message query(long revision) {
		return new Message.ConfigurationQuery(revision);
	}

	private static byte[] framed(byte[] payload) {
		byte[] frame = new byte[payload.length + MessageFrame.LENGTH_BYTES];
		frame[2] = (byte) (payload.length >> 8);
		frame[3] = (byte) payload.length;
		System.arraycopy(payload, 0, frame, MessageFrame.LENGTH_BYTES, payload.length);
		return frame;
	}

	private static byte[] copy(byte[] source, int length) {
		return Arrays.copyOf(source, length);
	}

}
