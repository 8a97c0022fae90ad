package io.masticlane.setting;

/**
 * Thrown when the value of a setting is missing or invalid.
 */
public class SettingException extends RuntimeException {

	/**
	 * Creates a new exception.
	 * @param flag the name of the flag, or the path of the settings file
	 * @param value the invalid value, or an empty string if it is missing
	 * @param expected a description of the expected value
	 */
	public SettingException(String flag, String value, String expected) {
		super("--" + flag + ": got '" + value + "', expected " + expected);
	}

}
