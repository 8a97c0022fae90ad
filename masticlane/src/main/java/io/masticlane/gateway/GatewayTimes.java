package io.masticlane.gateway;

/**
 * The times of a gateway that follow from the platform's bounds.
 */
final class GatewayTimes {

	/**
	 * The longest time to connect to a backend server: a round trip of 70 ms between
	 * regions and a busy acceptor.
	 */
	static final int CONNECT_TIMEOUT_MILLIS = 400;

	/**
	 * How long connections to backend servers are kept, below their own idle timeout.
	 */
	static final long IDLE_TIMEOUT_MILLIS = 6_000;

	/**
	 * The pause between reads of the store's changes, so that the beats of backend
	 * servers share a call; a leaving server is noticed in 2.5 s at most.
	 */
	static final long FOLLOW_PAUSE_MILLIS = 1_100;

	/**
	 * How long a read of changes waits in the store.
	 */
	static final long LONG_POLL_MILLIS = 1_000;

	/**
	 * The pause after a failed call to the store.
	 */
	static final long RETRY_PAUSE_MILLIS = 300;

	/**
	 * The silence of the store after which it counts as lost.
	 */
	static final long STORE_LOST_MILLIS = 2_500;

	/**
	 * The lease of a gateway's entry; a dead one is named to callers for 7 s at most.
	 */
	static final long LEASE_SECONDS = 4;

	/**
	 * The interval between renewals, a third of the lease.
	 */
	static final long RENEW_INTERVAL_MILLIS = 1_300;

	/**
	 * The interval between reports to other gateways.
	 */
	static final long REPORT_INTERVAL_MILLIS = 500;

	/**
	 * The silence after which a connection to another gateway is replaced.
	 */
	static final int PEER_IDLE_TIMEOUT_MILLIS = 1_800;

	/**
	 * How long a newer plan of another gateway is waited for from the store before it is
	 * asked for.
	 */
	static final long PLAN_QUERY_DELAY_MILLIS = 900;

	/**
	 * The interval of housekeeping.
	 */
	static final long TICK_INTERVAL_MILLIS = 250;

	/**
	 * The interval at which connections are looked through.
	 */
	static final long SWEEP_INTERVAL_MILLIS = 1_000;

	/**
	 * How long callers may keep a look-up, in seconds.
	 */
	static final double LOOK_UP_TTL_SECONDS = 2;

	/**
	 * The time before SIGKILL at which a leaving gateway ends.
	 */
	static final long KILL_MARGIN_MILLIS = 600;

	/**
	 * How long a leaving gateway still takes requests of callers that have not looked up
	 * anew: three times a look-up's time to live fits into the grace.
	 */
	static final long LINGER_MILLIS = 3_800;

	/**
	 * How long a process that is about to end leaves for its last calls to the store.
	 */
	static final long FINAL_WRITES_MILLIS = 120;

	private GatewayTimes() {
	}

}
