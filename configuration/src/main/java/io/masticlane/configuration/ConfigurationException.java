package io.masticlane.configuration;

/**
 * Thrown when a field of a configuration has an invalid value.
 */
public class ConfigurationException extends RuntimeException {

	private final String field;

	/**
	 * Creates a new exception.
	 * @param field the path of the field
	 * @param value the value that was given
	 * @param expected what was expected instead
	 */
	public ConfigurationException(String field, Object value, String expected) {
		super(field + ": got '" + value + "', expected " + expected);
		this.field = field;
	}

	/**
	 * Returns the field that has the invalid value.
	 * @return the path of the field
	 */
	public String field() {
		return this.field;
	}

}
