package io.masticlane.operator;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Writes and reads the JSON documents for operators. Unknown fields are ignored, so that
 * documents of later versions can be read.
 */
public final class OperatorDocuments {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private OperatorDocuments() {
	}

	/**
	 * Writes a document as JSON.
	 * @param document the document
	 * @return the JSON text with a trailing newline
	 */
	public static String write(Object document) {
		try {
			return MAPPER.writeValueAsString(document) + "\n";
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot write the document as JSON", ex);
		}
	}

	/**
	 * Reads a document from JSON.
	 * @param text the JSON text
	 * @param type the type of the document
	 * @param <T> the type of the document
	 * @return the document
	 * @throws IOException if the text is no document of this type
	 */
	public static <T> T read(String text, Class<T> type) throws IOException {
		return MAPPER.readValue(text, type);
	}

}
