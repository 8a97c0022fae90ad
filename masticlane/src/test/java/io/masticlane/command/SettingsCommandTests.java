package io.masticlane.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.masticlane.fixture.SettingsLines;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class SettingsCommandTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@Test
	public void validSettingsArePrintedWithIgnoredNames() throws IOException {
		assertEquals(check(SettingsLines.REQUIRED + "colour=red\n"), ExitStatus.SUCCESS);
		assertTrue(this.output.toString(StandardCharsets.UTF_8).contains("host=entry-1"));
		assertTrue(this.output.toString(StandardCharsets.UTF_8).contains("unknown and ignored: colour"));
	}

	@Test
	public void invalidValuePrintsOneErrorWithItsName() throws IOException {
		assertEquals(check(SettingsLines.REQUIRED.replace("127.0.0.1:4", "here")), ExitStatus.USAGE);
		assertEquals(this.errors.toString(StandardCharsets.UTF_8).lines().toList(),
				List.of("masticlane: --peer-address: got 'here', expected an address such as 127.0.0.1:8080"));
	}

	@Test
	public void missingFileIsUsageError() {
		assertEquals(Main.run(List.of("settings", "check", "/no/such/file"), printStream(this.output),
				printStream(this.errors)), ExitStatus.USAGE);
	}

	private ExitStatus check(String lines) throws IOException {
		this.output.reset();
		this.errors.reset();
		Path path = Files.createTempFile("masticlane", ".settings");
		try {
			Files.write(path, lines.getBytes(StandardCharsets.UTF_8));
			return Main.run(List.of("settings", "check", path.toString()), printStream(this.output),
					printStream(this.errors));
		}
		finally {
			Files.delete(path);
		}
	}

	private static PrintStream printStream(ByteArrayOutputStream bytes) {
		return new PrintStream(bytes, true, StandardCharsets.UTF_8);
	}

}
