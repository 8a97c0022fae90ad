package io.masticlane.setting;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;

import io.masticlane.fixture.SettingsLines;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class SettingsReloadTests {

	private final List<GatewaySettings> accepted = new ArrayList<>();

	private final List<String> rejected = new ArrayList<>();

	private Path path;

	private SettingsReload reload;

	private int writes;

	@BeforeMethod
	public void writeFile() throws IOException {
		this.accepted.clear();
		this.rejected.clear();
		this.path = Files.createTempFile("masticlane", ".settings");
		write(SettingsLines.REQUIRED);
		this.reload = new SettingsReload(SettingsFile.at(this.path), this.accepted::add,
				(file, reason) -> this.rejected.add(reason));
	}

	@AfterMethod(alwaysRun = true)
	public void deleteFile() throws IOException {
		Files.deleteIfExists(this.path);
	}

	@Test
	public void aFileThatChangesWithoutARequestIsReadAgainOnce() throws IOException {
		this.reload.readIfChanged(false);
		write(SettingsLines.REQUIRED + "retry-ratio=0.4\n");
		this.reload.readIfChanged(false);
		this.reload.readIfChanged(false);
		assertEquals(this.accepted.stream().map(GatewaySettings::retryRatio).toList(), List.of(0.4));
	}

	@Test
	public void aRequestReadsTheFileEvenIfItsModificationTimeIsTheSame() {
		this.reload.readIfChanged(true);
		assertEquals(this.accepted.size(), 1);
	}

	@Test
	public void anInvalidFileIsRejectedAndTheNextValidOneAccepted() throws IOException {
		write(SettingsLines.REQUIRED + "retry-ratio=often\n");
		this.reload.readIfChanged(false);
		assertEquals(this.accepted.size(), 0);
		assertTrue(this.rejected.get(0).contains("often"), this.rejected.get(0));
		write(SettingsLines.REQUIRED);
		this.reload.readIfChanged(false);
		assertEquals(this.accepted.size(), 1);
	}

	@Test
	public void aMissingFileIsReportedOnce() throws IOException {
		Files.delete(this.path);
		this.reload.readIfChanged(false);
		this.reload.readIfChanged(false);
		assertEquals(this.rejected.size(), 1);
	}

	@Test
	public void settingsThatTakeEffectAtTheNextStartAreListedSeparately() throws IOException {
		GatewaySettings current = SettingsFile.at(this.path).gateway();
		write(SettingsLines.REQUIRED.replace("127.0.0.1:4", "127.0.0.1:44") + "cold-slack=9\n");
		SettingsChange change = SettingsChange.between(current, SettingsFile.at(this.path).gateway());
		assertEquals(change, new SettingsChange(List.of("cold-slack"), List.of("peer-address")));
	}

	private void write(String lines) throws IOException {
		Files.write(this.path, lines.getBytes(StandardCharsets.UTF_8));
		Files.setLastModifiedTime(this.path, FileTime.fromMillis(1_000L * ++this.writes));
	}

}
