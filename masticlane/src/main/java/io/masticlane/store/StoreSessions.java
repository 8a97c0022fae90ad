package io.masticlane.store;

import java.util.OptionalLong;

/**
 * Counts the sessions of a client with the store. Each sign that the store was away, or
 * came back from an earlier state, begins a session.
 */
public final class StoreSessions {

	private SharedState.Session current = new SharedState.Session(0, OptionalLong.empty(), "");

	/**
	 * Returns the current session.
	 * @return the session
	 */
	public SharedState.Session current() {
		return this.current;
	}

	/**
	 * Begins a session because the store may have been away.
	 * @param reason what was observed
	 */
	public void interrupted(String reason) {
		this.current = new SharedState.Session(this.current.number() + 1, this.current.era(), reason);
	}

	/**
	 * Records the era that a response states. A higher one than before begins a session.
	 * @param era the era, or empty if the response states none
	 * @return whether the response is of the current era, so that its content counts
	 */
	public boolean responded(OptionalLong era) {
		if (era.isEmpty() || era.equals(this.current.era())) {
			return true;
		}
		if (this.current.era().isEmpty()) {
			this.current = new SharedState.Session(this.current.number(), era, this.current.beginning());
			return true;
		}
		if (era.getAsLong() < this.current.era().getAsLong()) {
			return false;
		}
		this.current = new SharedState.Session(this.current.number() + 1, era,
				"era " + this.current.era().getAsLong() + " ended");
		return true;
	}

}
