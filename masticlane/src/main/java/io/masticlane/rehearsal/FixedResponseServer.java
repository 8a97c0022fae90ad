package io.masticlane.rehearsal;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A backend server on the loopback interface that sends the same response to every
 * request.
 */
final class FixedResponseServer implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());

	private final String response;

	FixedResponseServer(String response) throws IOException {
		this.response = response;
		Thread acceptor = new Thread(this::acceptConnections, "rehearsal-server");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	InetSocketAddress address() {
		return new InetSocketAddress(this.listener.getInetAddress(), this.listener.getLocalPort());
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private void acceptConnections() {
		while (!this.listener.isClosed()) {
			try (Socket connection = this.listener.accept()) {
				BufferedReader reader = new BufferedReader(
						new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
				for (String line = reader.readLine(); line != null; line = reader.readLine()) {
					if (line.isEmpty()) {
						connection.getOutputStream().write(this.response.getBytes(StandardCharsets.ISO_8859_1));
						connection.getOutputStream().flush();
					}
				}
			}
			catch (IOException ex) {
				continue; // the loop ends if the listener was closed
			}
		}
	}

}
