package io.masticlane.schema;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Command that writes all generated sources and the page of settings.
 */
public final class Generator {

	private Generator() {
	}

	/**
	 * Generates all files in a checkout.
	 * @param arguments the root directory of the checkout; the current directory if empty
	 * @throws IOException if the schema cannot be read or a file cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		Path root = Path.of((arguments.length > 0) ? arguments[0] : ".");
		Path sources = root.resolve("masticlane/src/main/java");
		MessageGenerator.generate(read("/messages.json"), sources);
		JsonNode settings = read("/settings.json");
		SettingsGenerator.generate(settings, sources);
		Files.writeString(root.resolve("docs/SETTINGS.md"), SettingsPage.render(settings));
	}

	private static JsonNode read(String resource) throws IOException {
		try (InputStream stream = Generator.class.getResourceAsStream(resource)) {
			return new ObjectMapper().readTree(stream);
		}
	}

}
