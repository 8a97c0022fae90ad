package io.masticlane.configuration;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Prints and reads the JSON document of a configuration.
 */
public final class ConfigurationDocument {

	/**
	 * The largest document in bytes: the store's largest value of a megabyte, less the
	 * room for the envelope that the document is stored in.
	 */
	public static final int MAXIMUM_BYTES = 1_000_000 - 4_096;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(SerializationFeature.INDENT_OUTPUT)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private ConfigurationDocument() {
	}

	/**
	 * Prints a checked configuration.
	 * @param configuration the configuration to print
	 * @return the document
	 */
	public static String print(Configuration configuration) {
		try {
			String document = MAPPER.writeValueAsString(configuration.checked()) + "\n";
			checkSize(document.getBytes(StandardCharsets.UTF_8).length);
			return document;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("every configuration has a document", ex);
		}
	}

	/**
	 * Reads and checks a document.
	 * @param document the document in UTF-8
	 * @return the configuration
	 */
	public static Configuration read(byte[] document) {
		checkSize(document.length);
		try {
			Configuration configuration = MAPPER.readValue(document, Configuration.class);
			if (configuration == null) {
				throw new ConfigurationException("document", "null", "an object");
			}
			return configuration.checked();
		}
		catch (JsonMappingException ex) {
			throw explain(ex);
		}
		catch (IOException ex) {
			throw new ConfigurationException("document", firstLine(ex), "well-formed JSON");
		}
	}

	private static ConfigurationException explain(JsonMappingException failure) {
		if (failure.getCause() instanceof ConfigurationException known) {
			return known;
		}
		return new ConfigurationException(failure.getPathReference(), firstLine(failure), "the documented type");
	}

	private static String firstLine(Exception failure) {
		return failure.getMessage().lines().findFirst().orElse("");
	}

	private static void checkSize(int bytes) {
		if (bytes > MAXIMUM_BYTES) {
			throw new ConfigurationException("document", bytes + " bytes", "at most " + MAXIMUM_BYTES + " bytes");
		}
	}

}
