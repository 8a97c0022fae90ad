package io.masticlane.operation;

import java.util.List;
import java.util.Map;

/**
 * The complete response to an operation, kept to be replayed.
 *
 * @param status the HTTP status
 * @param headers the names and values of the headers in their order
 * @param body the body
 */
public record RecordedResponse(int status, List<Map.Entry<String, String>> headers, byte[] body) {

	/**
	 * The maximum size of a recorded body in bytes.
	 */
	public static final int MAXIMUM_BODY_BYTES = 8 * 1024;

	/**
	 * Returns the size that counts towards the limit of the ledger.
	 * @return the size of the body in bytes plus the number of characters of the headers
	 */
	int size() {
		return this.body.length
				+ this.headers.stream().mapToInt((each) -> each.getKey().length() + each.getValue().length()).sum();
	}

}
