package io.masticlane.gateway;

import java.util.concurrent.TimeUnit;

import io.masticlane.setting.GatewaySettings;

/**
 * The intervals and timeouts of a gateway, which follow from the platform's bounds.
 */
final class GatewayTimes {

	/**
	 * The timeout for connecting to a backend server: a round trip of 70 ms between
	 * regions and a busy acceptor.
	 */
	static final int CONNECT_TIMEOUT_MILLIS = 400;

	/**
	 * How long idle connections to backend servers are kept, below the idle timeout of
	 * the servers.
	 */
	static final long IDLE_TIMEOUT_MILLIS = 6_000;

	/**
	 * The pause between reads of the store's changes as a fraction of the shortest time
	 * within which a change must be in force. The rest covers a slow read and one that
	 * fails.
	 */
	static final double FOLLOW_PAUSE_FRACTION = 0.44;

	/**
	 * The longest pause between reads of the store's changes.
	 */
	static final long MAXIMUM_FOLLOW_PAUSE_MILLIS = 2_000;

	/**
	 * How long the store waits for a change before it responds to a read of changes.
	 */
	static final long LONG_POLL_MILLIS = 1_000;

	/**
	 * How much longer than the pause between reads a gateway waits for changes from a
	 * relay before it reads the store itself, in milliseconds. A departure or plan that
	 * no relay forwards is still in force within two thirds of its bound.
	 */
	static final long RELAYED_CHANGES_MARGIN_MILLIS = 400;

	/**
	 * How long the store waits for a change before it responds to a relay. Others wait
	 * for the relay's batches, including empty ones, no longer than the margin.
	 */
	static final long RELAY_LONG_POLL_MILLIS = RELAYED_CHANGES_MARGIN_MILLIS / 2;

	/**
	 * The pause after a failed call to the store.
	 */
	static final long RETRY_PAUSE_MILLIS = 300;

	/**
	 * How much longer than a pause and a read the store may be silent before it counts as
	 * lost.
	 */
	static final long STORE_LOST_MARGIN_MILLIS = 400;

	/**
	 * The lease of a gateway's entry; look-ups return a dead gateway for 7 s at most.
	 */
	static final long LEASE_SECONDS = 4;

	/**
	 * The interval between lease renewals, a third of the lease.
	 */
	static final long RENEW_INTERVAL_MILLIS = 1_300;

	/**
	 * The interval between reports to other gateways.
	 */
	static final long REPORT_INTERVAL_MILLIS = 500;

	/**
	 * The time without a message after which a connection to another gateway is replaced.
	 */
	static final int PEER_IDLE_TIMEOUT_MILLIS = 1_800;

	/**
	 * How long to wait for the store to deliver a plan that another gateway already has
	 * before querying that gateway.
	 */
	static final long PLAN_QUERY_DELAY_MILLIS = 900;

	/**
	 * How long a request may wait until the gateway has read its plan and its servers.
	 */
	static final long STARTUP_WAIT_MILLIS = 1_000;

	/**
	 * The interval of periodic updates.
	 */
	static final long TICK_INTERVAL_MILLIS = 250;

	/**
	 * The interval at which timed-out and idle connections are closed.
	 */
	static final long SWEEP_INTERVAL_MILLIS = 1_000;

	/**
	 * The time to live of a look-up response, in seconds.
	 */
	static final double LOOK_UP_TTL_SECONDS = 2;

	/**
	 * How long a stopping process waits for its last responses and calls to the store.
	 */
	static final long FINAL_WRITES_MILLIS = 120;

	/**
	 * The interval at which a stopping process checks whether callers have received its
	 * last responses.
	 */
	static final long FINAL_POLL_MILLIS = 20;

	private GatewayTimes() {
	}

	/**
	 * Returns the pause between reads of the store's changes, so that one call returns
	 * the changes of several backend servers.
	 * @param settings the settings of the gateway
	 * @return the pause in milliseconds
	 */
	static long followPauseMillis(GatewaySettings settings) {
		double seconds = Math.min(settings.departureSeconds(), settings.configurationSeconds());
		return Math.min(MAXIMUM_FOLLOW_PAUSE_MILLIS,
				Math.round(seconds * TimeUnit.SECONDS.toMillis(1) * FOLLOW_PAUSE_FRACTION));
	}

}
