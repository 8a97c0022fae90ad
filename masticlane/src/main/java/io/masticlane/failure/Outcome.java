package io.masticlane.failure;

/**
 * What is known about whether the operation of a refused request ran.
 */
public enum Outcome {

	/**
	 * Neither this attempt at the operation nor an earlier one ran.
	 */
	NOT_RUN("not-run"),

	/**
	 * The operation may have run.
	 */
	UNKNOWN("unknown");

	private final String text;

	Outcome(String text) {
		this.text = text;
	}

	/**
	 * Returns the text in responses.
	 * @return the text in responses
	 */
	public String text() {
		return this.text;
	}

}
