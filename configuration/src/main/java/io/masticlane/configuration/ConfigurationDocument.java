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
	 * The maximum size of a document in bytes: the maximum value size of the store (one
	 * megabyte), minus space for the envelope around the document.
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
	 * Validates a configuration and prints it as JSON.
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
			throw new IllegalStateException("configuration cannot be serialized as JSON", ex);
		}
	}

	/**
	 * Reads and validates a document.
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
			throw toConfigurationException(ex);
		}
		catch (IOException ex) {
			throw new ConfigurationException("document", firstLine(ex), "well-formed JSON");
		}
	}

	private static ConfigurationException toConfigurationException(JsonMappingException failure) {
		if (failure.getCause() instanceof ConfigurationException cause) {
			return cause;
		}
		return new ConfigurationException(failure.getPathReference(), firstLine(failure), "the documented type");
	}

	private static String firstLine(Exception failure) {
		return failure.getMessage().lines().findFirst().orElse("");
	}

	private static void checkSize(int sizeBytes) {
		if (sizeBytes > MAXIMUM_BYTES) {
			throw new ConfigurationException("document", sizeBytes + " bytes", "at most " + MAXIMUM_BYTES + " bytes");
		}
	}

}
