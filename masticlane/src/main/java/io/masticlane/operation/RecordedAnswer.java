package io.masticlane.operation;

import java.util.List;
import java.util.Map;

/**
 * The whole answer to an operation, kept to be given again.
 *
 * @param status the HTTP status
 * @param headers the headers in their order
 * @param body the body
 */
public record RecordedAnswer(int status, List<Map.Entry<String, String>> headers, byte[] body) {

	/**
	 * The largest body that is kept, in bytes.
	 */
	public static final int MAXIMUM_BODY_BYTES = 8 * 1024;

	/**
	 * Returns the bytes that the answer takes up.
	 * @return the bytes that the answer takes up
	 */
	int size() {
		return this.body.length
				+ this.headers.stream().mapToInt((each) -> each.getKey().length() + each.getValue().length()).sum();
	}

}
