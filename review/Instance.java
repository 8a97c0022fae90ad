package io.masticlane.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToLongFunction;

/**
 * An instance of a service: it runs each request for the time that it is given, and
 * answers it with its signature.
 */
final class Instance implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());

	private final AtomicInteger running = new AtomicInteger();

	private final Set<String> runs = ConcurrentHashMap.newKeySet();

	private final String id;

	private final String service;

	private final int slots;

	private final ToLongFunction<Http> workMillis;

	private final Record record;

	private int sequence;

	/**
	 * Starts an instance.
	 * @param id its identifier
	 * @param service the name of its service
	 * @param slots the requests that it runs at once
	 * @param workMillis returns how long it works on a request
	 * @param record receives what it runs
	 * @throws IOException if it cannot listen
	 */
	Instance(String id, String service, int slots, ToLongFunction<Http> workMillis, Record record) throws IOException {
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.workMillis = workMillis;
		this.record = record;
		start(this::accept);
	}

	/**
	 * Returns whether a request has run.
	 * @param requestId the identifier of the request
	 * @return whether this instance began to work on it
	 */
	boolean hasRun(String requestId) {
		return this.runs.contains(requestId);
	}

	/**
	 * Writes the entry of this instance.
	 * @param store the store
	 * @param state the state, ready or draining
	 */
	synchronized void register(Store store, String state) {
		this.sequence++;
		store.put("servers/" + this.id,
				String.format(
						"{\"Address\":\"127.0.0.1:%d\",\"born\":1764900000000,\"Info\":{\"Service\":\"%s\","
								+ "\"Version\":\"v1\",\"Zone\":\"howrah\",\"Slots\":%d},\"Status\":{\"State\":\"%s\","
								+ "\"Seq\":%d,\"ColdRemainingS\":0}}",
						this.listener.getLocalPort(), this.service, this.slots, state, this.sequence));
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The listener was closed at the end of the case.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream input = new BufferedInputStream(socket.getInputStream());
			for (Http request = Http.read(input); request != null; request = Http.read(input)) {
				String requestId = request.header("Request-Id");
				int load = this.running.incrementAndGet();
				this.runs.add(requestId);
				this.record.line("run      id=%s instance=%s target=%s tenant=%s body=%d", requestId, this.id,
						request.target(), request.header("Tenant"), request.body().length);
				TimeUnit.MILLISECONDS.sleep(this.workMillis.applyAsLong(request));
				this.running.decrementAndGet();
				byte[] body = Http.bytes("done " + requestId + "\n");
				socket.getOutputStream()
					.write(Http.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: s."
							+ requestId + "\r\nServer-Load: " + Math.min(load, this.slots) + ","
							+ Math.max(0, load - this.slots) + "," + this.slots + "\r\nContent-Length: " + body.length
							+ "\r\n\r\n" + new String(body)));
				this.record.line("finished id=%s instance=%s", requestId, this.id);
			}
		}
		catch (IOException ex) {
			this.record.line("caller of instance=%s is gone: %s", this.id, ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

}
