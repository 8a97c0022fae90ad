package io.masticlane.command;

/**
 * The exit statuses of all commands.
 */
public enum ExitStatus {

	/**
	 * The command did what it was asked for.
	 */
	SUCCESS(0),

	/**
	 * The command failed.
	 */
	FAILURE(1),

	/**
	 * A flag, argument or configuration is not acceptable.
	 */
	USAGE(2),

	/**
	 * Another operator's change came first.
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
	 * Returns the status of the process.
	 * @return the status of the process
	 */
	public int code() {
		return this.code;
	}

}
