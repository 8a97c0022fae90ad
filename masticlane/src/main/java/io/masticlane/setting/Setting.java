package io.masticlane.setting;

/**
 * Describes one setting.
 *
 * @param flag the name of the flag without its dashes
 * @param environmentVariable the name of the environment variable
 * @param type the name of the type of its value
 * @param fallback the default value, or {@code null} if a value is required
 * @param minimum the smallest value of a number
 * @param maximum the largest value of a number
 * @param description the meaning of the setting
 */
public record Setting(String flag, String environmentVariable, String type, String fallback, long minimum, long maximum,
		String description) {
}
