package io.masticlane.schema;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Renders the Markdown page that lists all settings.
 */
final class SettingsPage {

	private SettingsPage() {
	}

	static String render(JsonNode schema) {
		String groups = StreamSupport.stream(schema.get("groups").spliterator(), false)
			.map(SettingsPage::group)
			.collect(Collectors.joining("\n"));
		return "# Settings\n\nGenerated from `schema/src/main/resources/settings.json`; do not edit.\n"
				+ "A flag takes precedence over its environment variable, which takes precedence over the default.\n\n"
				+ groups;
	}

	private static String group(JsonNode group) {
		return "## " + group.get("name").asText() + "\n\n" + group.get("doc").asText()
				+ "\n\n| flag | environment variable | type | default | meaning |\n|---|---|---|---|---|\n"
				+ StreamSupport.stream(group.get("settings").spliterator(), false)
					.map(SettingsPage::row)
					.collect(Collectors.joining());
	}

	private static String row(JsonNode setting) {
		String type = setting.get("type").asText() + (setting.has("minimum")
				? " from " + setting.get("minimum").asLong() + " to " + setting.get("maximum").asLong() : "");
		String defaultValue = setting.has("default") ? "`" + setting.get("default").asText() + "`" : "required";
		return "| `--" + setting.get("name").asText() + "` | `" + environmentVariable(setting) + "` | " + type + " | "
				+ defaultValue + " | " + setting.get("doc").asText() + " |\n";
	}

	static String environmentVariable(JsonNode setting) {
		return "MASTICLANE_" + setting.get("name").asText().replace('-', '_').toUpperCase(Locale.ROOT);
	}

}
