package io.masticlane.setting;

/**
 * Tells that a setting's value is missing or not acceptable.
 */
public class SettingException extends RuntimeException {

	/**
	 * Creates a new exception.
	 * @param flag the flag of the setting
	 * @param value the value that was given
	 * @param expected what was expected instead
	 */
	public SettingException(String flag, String value, String expected) {
		super("--" + flag + ": got '" + value + "', expected " + expected);
	}

}
