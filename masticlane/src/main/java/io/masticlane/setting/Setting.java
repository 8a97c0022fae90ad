package io.masticlane.setting;

/**
 * The descriptor of one setting.
 *
 * @param flag the name of the flag without the leading dashes
 * @param environmentVariable the name of the environment variable
 * @param type the type of the value: string, address, addresses, integer or decimal
 * @param defaultValue the default value, or {@code null} if a value is required
 * @param minimum the minimum of an integer value
 * @param maximum the maximum of an integer value
 * @param description the meaning of the setting
 */
public record Setting(String flag, String environmentVariable, String type, String defaultValue, long minimum,
		long maximum, String description) {
}
