package io.masticlane.failure;

/**
 * What is known of whether a refused request ran.
 */
public enum Outcome {

	/**
	 * The operation has not run, and no earlier attempt at it has.
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
	 * Returns the text in answers.
	 * @return the text in answers
	 */
	public String text() {
		return this.text;
	}

}
