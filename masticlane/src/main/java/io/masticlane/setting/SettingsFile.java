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
 * A settings file with lines of {@code name=value}. The value of a name that is not in
 * the file is taken from its environment variable.
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
	 * Reads and validates the settings of a gateway.
	 * @return the settings
	 * @throws IOException if the file cannot be read
	 */
	public GatewaySettings gateway() throws IOException {
		Properties properties = properties();
		return GatewaySettings.from(new SettingSource(GatewaySettings.DESCRIPTORS,
				(flag) -> Optional.ofNullable(properties.getProperty(flag)).filter((value) -> !value.isBlank()),
				(variable) -> Optional.ofNullable(System.getenv(variable))));
	}

	/**
	 * Returns the names in the file that are no setting of a gateway.
	 * @return the names in alphabetical order
	 * @throws IOException if the file cannot be read
	 */
	public List<String> unknownNames() throws IOException {
		return properties().stringPropertyNames()
			.stream()
			.filter((name) -> GatewaySettings.DESCRIPTORS.stream().noneMatch((setting) -> setting.flag().equals(name)))
			.sorted()
			.toList();
	}

	/**
	 * Returns the time at which the file was last modified.
	 * @return the time of the last modification
	 * @throws IOException if the file cannot be read
	 */
	public FileTime lastModified() throws IOException {
		return Files.getLastModifiedTime(this.path);
	}

	/**
	 * Returns the path of the file.
	 * @return the path
	 */
	public Path path() {
		return this.path;
	}

	private Properties properties() throws IOException {
		Properties properties = new Properties();
		try (Reader reader = Files.newBufferedReader(this.path, StandardCharsets.UTF_8)) {
			properties.load(reader);
		}
		catch (IllegalArgumentException ex) {
			throw new SettingException(this.path.toString(), ex.getMessage(), "lines of name=value");
		}
		return properties;
	}

}
