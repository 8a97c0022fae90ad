package io.masticlane.failure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class ErrorKindTests {

	@Test
	public void thePageListsEveryKindWithItsStatusOutcomeAndMessage() throws IOException {
		List<String> page = Files.readAllLines(Path.of("../docs/ERRORS.md"))
			.stream()
			.filter((line) -> line.startsWith("| `"))
			.map((line) -> line.substring(0, line.lastIndexOf(" | ")))
			.toList();
		List<String> code = Arrays.stream(ErrorKind.values())
			.map((kind) -> "| `" + kind.text() + "` | " + kind.status() + " | `" + kind.outcome().text() + "` | "
					+ kind.message())
			.toList();
		assertEquals(page, code);
	}

}
