package io.masticlane.setting;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Optional;
import java.util.Properties;

/**
 * A file of settings with lines of {@code name=value}. Environment variables stand in for
 * names that the file lacks.
 */
public final class SettingsFile {

	private final Path path;

	private SettingsFile(Path path) {
		this.path = path;
	}

	/**
	 * Creates a settings file.
	 * @param path the path of the file
	 * @return the settings file
	 */
	public static SettingsFile at(Path path) {
		return new SettingsFile(path);
	}

	/**
	 * Reads and checks the settings of a gateway.
	 * @return the settings
	 * @throws IOException if the file cannot be read
	 */
	public GatewaySettings gateway() throws IOException {
		Properties lines = lines();
		return GatewaySettings.from(new SettingSource(GatewaySettings.DESCRIPTORS,
				(flag) -> Optional.ofNullable(lines.getProperty(flag)).filter((value) -> !value.isBlank()),
				(variable) -> Optional.ofNullable(System.getenv(variable))));
	}

	/**
	 * Returns the names in the file that no setting of a gateway has.
	 * @return the names in order
	 * @throws IOException if the file cannot be read
	 */
	public List<String> unknownNames() throws IOException {
		return lines().stringPropertyNames()
			.stream()
			.filter((name) -> GatewaySettings.DESCRIPTORS.stream().noneMatch((each) -> each.flag().equals(name)))
			.sorted()
			.toList();
	}

	/**
	 * Returns the time of the last change of the file.
	 * @return the time
	 * @throws IOException if the file cannot be read
	 */
	public FileTime changed() throws IOException {
		return Files.getLastModifiedTime(this.path);
	}

	/**
	 * Returns the path of the file.
	 * @return the path
	 */
	public Path path() {
		return this.path;
	}

	private Properties lines() throws IOException {
		Properties lines = new Properties();
		try (Reader reader = Files.newBufferedReader(this.path, StandardCharsets.UTF_8)) {
			lines.load(reader);
		}
		catch (IllegalArgumentException ex) {
			throw new SettingException(this.path.toString(), ex.getMessage(), "lines of name=value");
		}
		return lines;
	}

}
