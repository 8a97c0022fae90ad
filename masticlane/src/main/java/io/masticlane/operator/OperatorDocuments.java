package io.masticlane.operator;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Prints and reads the JSON documents for operators; fields of later versions are
 * skipped.
 */
public final class OperatorDocuments {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private OperatorDocuments() {
	}

	/**
	 * Prints a document.
	 * @param document the document
	 * @return the JSON text with a line end
	 */
	public static String print(Object document) {
		try {
			return MAPPER.writeValueAsString(document) + "\n";
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("every document has a JSON text", ex);
		}
	}

	/**
	 * Reads a document.
	 * @param text the JSON text
	 * @param type the type of the document
	 * @param <T> the type of the document
	 * @return the document
	 * @throws IOException if the text is not such a document
	 */
	public static <T> T read(String text, Class<T> type) throws IOException {
		return MAPPER.readValue(text, type);
	}

}
