package io.masticlane.configuration;

import java.nio.charset.StandardCharsets;

import io.masticlane.configuration.example.Pliego;
import io.masticlane.configuration.example.Sonar;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class ConfigurationDocumentTests {

	@Test
	public void printedExamplesAreReadBackUnchanged() {
		assertEquals(read(ConfigurationDocument.print(Sonar.configuration())), Sonar.configuration());
		assertEquals(read(ConfigurationDocument.print(Pliego.configuration())), Pliego.configuration());
	}

	@Test
	public void printedDocumentContainsNoSecret() {
		assertFalse(ConfigurationDocument.print(Sonar.configuration()).contains("example-secret"));
	}

	@Test
	public void unknownReferenceIsReportedWithFieldAndValue() {
		String document = ConfigurationDocument.print(Sonar.configuration()).replace("\"west-2\"", "\"nowhere\"");
		String broken = document.replaceFirst("\"nowhere\"", "\"west-2\"");
		ConfigurationException failure = expectThrows(ConfigurationException.class, () -> read(broken));
		assertTrue(failure.getMessage().contains("dataCentre: got 'nowhere', expected one of"), failure.getMessage());
	}

	@Test
	public void unknownSchemaVersionIsRejected() {
		String document = ConfigurationDocument.print(Sonar.configuration())
			.replace("\"schemaVersion\" : 1", "\"schemaVersion\" : 2");
		ConfigurationException failure = expectThrows(ConfigurationException.class, () -> read(document));
		assertEquals(failure.getMessage(), "schemaVersion: got '2', expected the version 1");
	}

	@Test
	public void documentAboveMaximumSizeIsRejected() {
		ConfigurationException failure = expectThrows(ConfigurationException.class,
				() -> ConfigurationDocument.read(new byte[ConfigurationDocument.MAXIMUM_BYTES + 1]));
		assertEquals(failure.field(), "document");
	}

	@Test
	public void truncatedDocumentIsRejected() {
		String document = ConfigurationDocument.print(Sonar.configuration());
		expectThrows(ConfigurationException.class, () -> read(document.substring(0, document.length() / 2)));
	}

	private static Configuration read(String document) {
		return ConfigurationDocument.read(document.getBytes(StandardCharsets.UTF_8));
	}

}
