package io.masticlane.backend;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.BackendServer;
import io.masticlane.steering.AttemptResult;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests which connections carry another request, with a backend server that writes the
 * given bytes as soon as it has read the head of a request.
 */
public class BackendConnectionsTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	private static final String RESPONSE_TO_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";

	private final BlockingQueue<String> responses = new ArrayBlockingQueue<>(8);

	private CountDownLatch connectionEnded;

	private EventLoopGroup loops;

	private ServerSocket server;

	private BackendConnections connections;

	@BeforeMethod
	public void startServer() throws IOException {
		CountDownLatch ended = new CountDownLatch(1);
		this.connectionEnded = ended;
		this.loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		this.connections = new BackendConnections(this.loops.next());
		this.server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
		runInBackground(() -> {
			while (true) {
				Socket socket = this.server.accept();
				runInBackground(() -> serve(socket, ended));
			}
		});
	}

	@AfterMethod(alwaysRun = true)
	public void stopServer() throws IOException {
		this.server.close();
		this.loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	@Test
	public void aConnectionIsReusedAfterACompleteResponse() throws Exception {
		assertEquals(call(HttpMethod.GET, RESPONSE), "new 200 ok");
		assertEquals(call(HttpMethod.GET, RESPONSE), "reused 200 ok");
	}

	@Test
	public void aConnectionIsNotReusedAfterAResponseThatNamesNoRequest() throws Exception {
		assertEquals(call(HttpMethod.GET, RESPONSE.replace("\r\n\r\n", "\r\nUnnamed: 1\r\n\r\n")), "new 200 ok");
		assertEquals(call(HttpMethod.GET, RESPONSE), "new 200 ok");
	}

	@Test
	public void aCopiedResponseToAHeadRequestIsNeverFramedAsOneWithABody() throws Exception {
		assertEquals(call(HttpMethod.HEAD, RESPONSE_TO_HEAD), "new 200 ");
		assertEquals(call(HttpMethod.GET, RESPONSE), "new 200 ok");
		assertEquals(call(HttpMethod.HEAD, RESPONSE_TO_HEAD), "reused 200 ");
	}

	@Test
	public void anInterimResponseDoesNotChangeTheFramingOfTheFinalOne() throws Exception {
		String interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
		assertEquals(call(HttpMethod.HEAD, interim + RESPONSE_TO_HEAD), "new 200 ");
		assertEquals(call(HttpMethod.HEAD, interim + interim + RESPONSE_TO_HEAD), "reused 200 ");
	}

	@Test
	public void aConnectionWithDataBehindAResponseIsNotReused() throws Exception {
		assertEquals(call(HttpMethod.GET, RESPONSE + RESPONSE.substring(0, 20)), "new 200 ok");
		assertEquals(call(HttpMethod.GET, RESPONSE), "new 200 ok");
	}

	@Test
	public void aConnectionWithDataWhileItIsIdleIsNotReused() throws Exception {
		assertEquals(call(HttpMethod.GET, RESPONSE + "|" + RESPONSE.substring(0, 20)), "new 200 ok");
		assertTrue(this.connectionEnded.await(5, TimeUnit.SECONDS), "the connection is open");
		assertEquals(call(HttpMethod.GET, RESPONSE), "new 200 ok");
	}

	@Test
	public void aConnectionIsNotReusedIfTheResponseCameBeforeTheEndOfTheRequest() throws Exception {
		assertEquals(call(HttpMethod.POST, 32 * 1024 * 1024, RESPONSE), "new 200 ok");
		assertEquals(call(HttpMethod.GET, RESPONSE), "new 200 ok");
	}

	private String call(HttpMethod method, String response) throws InterruptedException {
		return call(method, 0, response);
	}

	private String call(HttpMethod method, int bodyBytes, String response) throws InterruptedException {
		this.responses.add(response);
		Recorder recorder = new Recorder();
		this.loops.next().execute(() -> {
			DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/ledger");
			request.content().writeZero(bodyBytes);
			request.headers().set("Content-Length", bodyBytes);
			BackendServer backendServer = BackendServer.of("ledger-1", "ledger", "west-1",
					"127.0.0.1:" + this.server.getLocalPort(), 1);
			this.connections.send(backendServer, request, BackendConnections.MAXIMUM_IDLE_NANOS, recorder);
		});
		return recorder.result.poll(5, TimeUnit.SECONDS);
	}

	private void serve(Socket socket, CountDownLatch ended) throws IOException, InterruptedException {
		try {
			serveRequests(socket);
		}
		finally {
			ended.countDown();
		}
	}

	private void serveRequests(Socket socket) throws IOException, InterruptedException {
		BufferedReader reader = new BufferedReader(
				new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
		for (String line = reader.readLine(); line != null; line = reader.readLine()) {
			if (!line.isEmpty()) {
				continue;
			}
			for (String part : this.responses.take().split("\\|")) {
				socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
				TimeUnit.MILLISECONDS.sleep(100);
			}
		}
	}

	private static void runInBackground(Action action) {
		Thread thread = new Thread(() -> {
			try {
				action.run();
			}
			catch (IOException | InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}, "backend-server");
		thread.setDaemon(true);
		thread.start();
	}

	private interface Action {

		void run() throws IOException, InterruptedException;

	}

	private static final class Recorder implements ResponseReceiver {

		private final BlockingQueue<String> result = new ArrayBlockingQueue<>(1);

		private final StringBuilder events = new StringBuilder();

		@Override
		public boolean connectionAcquired(Channel connection, boolean reused) {
			this.events.append(reused ? "reused " : "new ");
			return true;
		}

		@Override
		public boolean headReceived(HttpResponse head) {
			this.events.append(head.status().code()).append(' ');
			return !head.headers().contains("Unnamed");
		}

		@Override
		public void contentReceived(HttpContent content) {
			this.events.append(content.content().toString(StandardCharsets.US_ASCII));
			if (content instanceof LastHttpContent) {
				this.result.add(this.events.toString());
			}
			content.release();
		}

		@Override
		public void attemptFailed(AttemptResult attemptResult) {
			this.result.add(this.events.append(attemptResult).toString());
		}

	}

}
