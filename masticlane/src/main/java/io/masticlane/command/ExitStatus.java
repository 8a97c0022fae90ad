package io.masticlane.command;

/**
 * The exit statuses of all commands.
 */
public enum ExitStatus {

	/**
	 * The command succeeded.
	 */
	SUCCESS(0),

	/**
	 * The command failed.
	 */
	FAILURE(1),

	/**
	 * A flag, argument or configuration is invalid.
	 */
	USAGE(2),

	/**
	 * Another operator changed the configuration first.
	 */
	CONFLICT(3),

	/**
	 * The change is accepted, but not every entry host confirmed it.
	 */
	UNCONFIRMED(4),

	/**
	 * An error budget burns too fast.
	 */
	BUDGET_BURNING(5);

	private final int code;

	ExitStatus(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the exit code
	 */
	public int code() {
		return this.code;
	}

}
