package io.masticlane.review;

import java.io.IOException;
import java.net.Socket;

/**
 * A caller with one connection.
 */
final class Caller implements AutoCloseable {

	private final Socket socket;

	Caller(String address) throws IOException {
		String[] parts = address.split(":");
		this.socket = new Socket(parts[0], Integer.parseInt(parts[1]));
		this.socket.setTcpNoDelay(true);
	}

	/**
	 * Sends a request and waits for its answer.
	 * @param request the request
	 * @return the answer, or null if the connection ended without one
	 * @throws IOException if the connection breaks
	 */
	Http exchange(String request) throws IOException {
		send(Http.bytes(request));
		return Http.read(this.socket.getInputStream());
	}

	/**
	 * Sends a request with a body, and reads the answer even if it comes before the body
	 * has been sent.
	 * @param head the head of the request
	 * @param length the length of the body
	 * @return the answer, or null if the connection ended without one
	 * @throws IOException if the connection breaks without an answer
	 */
	Http upload(String head, int length) throws IOException {
		Thread sender = new Thread(() -> {
			try {
				send(Http.bytes(head));
				send(new byte[length]);
			}
			catch (IOException ex) {
				// The answer tells why the rest of the body was not taken.
			}
		});
		sender.start();
		return read();
	}

	void send(byte[] bytes) throws IOException {
		this.socket.getOutputStream().write(bytes);
	}

	Http read() throws IOException {
		return Http.read(this.socket.getInputStream());
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
