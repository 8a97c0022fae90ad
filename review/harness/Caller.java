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

	void timeout(int millis) throws IOException {
		this.socket.setSoTimeout(millis);
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
