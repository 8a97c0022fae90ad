package io.masticlane.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class EventTests {

	@Test
	public void theCatalogueListsEveryEventWithItsSeverityAndText() throws IOException {
		List<String> catalogue = Files.readAllLines(Path.of("../docs/EVENTS.md"))
			.stream()
			.filter((line) -> line.matches("\\| [0-9]+ \\|.*"))
			.map((line) -> line.substring(0, line.lastIndexOf(" | ")))
			.toList();
		List<String> code = Arrays.stream(Event.values())
			.map((event) -> "| " + event.number() + " | " + event.name() + " | " + event.severity() + " | "
					+ event.pattern())
			.toList();
		assertEquals(catalogue, code);
	}

	@Test
	public void everyEventHasItsOwnNumber() {
		assertEquals(Arrays.stream(Event.values()).map(Event::number).distinct().count(), Event.values().length);
	}

}
