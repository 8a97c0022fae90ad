package io.masticlane.review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One HTTP/1.1 message with a body of a stated length.
 *
 * @param start the request line or status line
 * @param headers the headers by name, without regard to case
 * @param body the body
 */
record Http(String start, Map<String, String> headers, byte[] body) {

	/**
	 * Reads a message.
	 * @param input the stream of the connection
	 * @return the message, or null if the connection ended before its first byte
	 * @throws IOException if the connection ends within the message
	 */
	static Http read(InputStream input) throws IOException {
		List<String> lines = new ArrayList<>();
		StringBuilder line = new StringBuilder();
		while (true) {
			int next = input.read();
			if (next < 0) {
				if (lines.isEmpty() && line.isEmpty()) {
					return null;
				}
				throw new EOFException("the connection ended within a head");
			}
			if (next == '\n') {
				if (line.isEmpty()) {
					break;
				}
				lines.add(line.toString());
				line.setLength(0);
			}
			else if (next != '\r') {
				line.append((char) next);
			}
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		lines.stream().skip(1).forEach((each) -> {
			int colon = each.indexOf(':');
			headers.put(each.substring(0, colon).trim(), each.substring(colon + 1).trim());
		});
		int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
		byte[] body = input.readNBytes(length);
		if (body.length < length) {
			throw new EOFException("the connection ended within a body");
		}
		return new Http(lines.get(0), headers, body);
	}

	int status() {
		return Integer.parseInt(this.start.split(" ")[1]);
	}

	String method() {
		return this.start.split(" ")[0];
	}

	String target() {
		return this.start.split(" ")[1];
	}

	String header(String name) {
		return this.headers.getOrDefault(name, "");
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
