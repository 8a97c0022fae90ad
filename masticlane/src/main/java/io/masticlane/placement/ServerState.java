package io.masticlane.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.masticlane.registry.RegisteredServer;

/**
 * A gateway's view of one backend server: its entry, its load, the objects that it
 * recently served, and its health.
 */
public final class ServerState {

	/**
	 * The age beyond which a reported load is ignored.
	 */
	private static final long REPORT_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * The requests for each slot of a saturated server: the running ones and as many in
	 * its queue.
	 */
	private static final int SATURATED_REQUESTS_PER_SLOT = 2;

	/**
	 * The number of objects that are recorded for each server; servers keep fewer warm.
	 */
	private static final int MAXIMUM_RECORDED_OBJECTS = 64;

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The duration of the first ejection; it doubles with each further one up to eight
	 * times as long.
	 */
	private static final long FIRST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The maximum number of times that the duration of an ejection doubles.
	 */
	private static final int MAXIMUM_EJECTION_SHIFT = 3;

	/**
	 * The number of consecutive failures after which a server is ejected.
	 */
	private static final int FAILURES_BEFORE_EJECTION = 3;

	/**
	 * The period after a server was unreachable in which an entry with the same start
	 * time may have been written before the server became unreachable. It covers a read
	 * of the store's changes and the pause between reads.
	 */
	private static final long ENTRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * The period after a server was unreachable in which it may be cold if no entry
	 * reports its state; a server is cold for some seconds after its start.
	 */
	private static final long POSSIBLY_COLD_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * The period after a response in which a failed connection indicates a congested
	 * server rather than a lost one; no server restarts within it.
	 */
	private static final long RECENT_RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * How long an announcement that the server leaves is believed: longer than any server
	 * stays, so that a mistaken one does not last for good.
	 */
	private static final long LEAVING_NANOS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * The longest pause that a server can ask for.
	 */
	private static final long MAXIMUM_PAUSE_NANOS = TimeUnit.MINUTES.toNanos(5);

	/**
	 * How long after a pause the requests in flight to the server are limited.
	 */
	private static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final double FAILURE_WEIGHT = 0.15;

	/**
	 * The moving average of failures above which a server is ejected although some
	 * requests succeed.
	 */
	private static final double EJECTION_FAILURE_RATIO = 0.35;

	private final long hash;

	private final Map<Long, Long> servedAt = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAXIMUM_RECORDED_OBJECTS;
		}
	};

	private final RequestTimes requestTimes = new RequestTimes();

	private final Slowness slowness = new Slowness();

	private RegisteredServer entry;

	private final String region;

	private final long discoveredAt;

	private int inFlight;

	private int reportedLoad;

	private int inFlightAtReport;

	private long reportedAt;

	private boolean hasReport;

	private boolean saturated;

	private long coldUntil;

	private boolean cold;

	private long warmAt;

	private boolean possiblyCold;

	private long unreachableAt;

	private boolean hasResponded;

	private long lastResponseAt;

	private long ejectedUntil;

	private boolean ejected;

	private int ejections;

	private boolean leaving;

	private long leavingUntil;

	private boolean paused;

	private long pausedUntil;

	private int returnLimit;

	private int consecutiveFailures;

	private double failureRatio;

	/**
	 * Creates the state of a server.
	 * @param entry the entry of the server
	 * @param region the region of its data centre
	 * @param now the current time in nanoseconds
	 */
	public ServerState(RegisteredServer entry, String region, long now) {
		this.hash = Rendezvous.hash(entry.id());
		this.region = region;
		this.discoveredAt = now;
		this.warmAt = now - SECOND_NANOS;
		entry(entry, now);
	}

	/**
	 * Updates the entry of the server.
	 * @param updated the new entry
	 * @param now the current time in nanoseconds
	 */
	public void entry(RegisteredServer updated, long now) {
		entry(updated, ENTRY_DELAY_NANOS, now);
	}

	/**
	 * Updates the entry of the server.
	 * @param updated the new entry
	 * @param readDelayNanos the longest time between the writing of an entry and its
	 * reading, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	public void entry(RegisteredServer updated, long readDelayNanos, long now) {
		boolean restarted = this.entry != null && this.entry.startedAt() != updated.startedAt();
		if (restarted || now - this.unreachableAt > readDelayNanos) {
			this.possiblyCold = false;
		}
		if (restarted) {
			this.servedAt.clear();
			this.hasReport = false;
			this.saturated = false;
			this.consecutiveFailures = 0;
			this.failureRatio = 0;
			this.ejected = false;
			this.leaving = false;
			this.paused = false;
			this.returnLimit = 0;
		}
		this.entry = updated;
		this.cold = false;
		if (updated.coldMillis() > 0) {
			markCold(updated.coldMillis(), now);
		}
	}

	/**
	 * Records that the server is cold.
	 * @param millis the time for which the server remains cold, in milliseconds
	 * @param now the current time in nanoseconds
	 */
	public void markCold(long millis, long now) {
		this.cold = true;
		this.coldUntil = now + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Records that a response of the server announced that it is leaving. This holds
	 * whatever its entry says, until an entry shows that the server was started again.
	 * @param now the current time in nanoseconds
	 * @return whether this was not known
	 */
	public boolean recordLeaving(long now) {
		boolean known = isLeaving(now);
		this.leaving = true;
		this.leavingUntil = now + LEAVING_NANOS;
		return !known;
	}

	/**
	 * Records that the server turned a request away and wants no others for a while.
	 * @param millis the time in milliseconds
	 * @param now the current time in nanoseconds
	 * @return whether the server was not pausing
	 */
	public boolean recordPause(long millis, long now) {
		boolean known = pauseMillis(now) > 0;
		long until = now + Math.min(MAXIMUM_PAUSE_NANOS, TimeUnit.MILLISECONDS.toNanos(millis));
		this.pausedUntil = known ? Math.max(this.pausedUntil, until) : until;
		this.paused = true;
		this.returnLimit = 1;
		return !known;
	}

	/**
	 * Returns whether the server is leaving, as its entry says or a response announced.
	 * @param now the current time in nanoseconds
	 * @return whether the server is leaving
	 */
	public boolean isLeaving(long now) {
		if (this.leaving && now - this.leavingUntil >= 0) {
			this.leaving = false;
		}
		return this.leaving || this.entry.leaving();
	}

	/**
	 * Returns how long the server still wants no requests.
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds, or zero
	 */
	public long pauseMillis(long now) {
		if (this.paused && now - this.pausedUntil >= 0) {
			this.paused = false;
		}
		return this.paused ? 1 + TimeUnit.NANOSECONDS.toMillis(this.pausedUntil - now) : 0;
	}

	/**
	 * Returns whether the server returns from a pause and has as many requests in flight
	 * as it may at present. The limit begins with one request and doubles with each
	 * response, so that the server is not turned away again by a wave of requests from
	 * all gateways.
	 * @param now the current time in nanoseconds
	 * @return whether the server may receive no further request until another one ended
	 */
	public boolean isReturnLimitReached(long now) {
		if (this.returnLimit > 0 && now - this.pausedUntil > RETURN_NANOS) {
			this.returnLimit = 0;
		}
		return this.returnLimit > 0 && this.inFlight >= this.returnLimit;
	}

	/**
	 * Records that a request is sent to the server.
	 * @param now the current time in nanoseconds
	 */
	public void recordRequestSent(long now) {
		this.inFlight++;
		this.requestTimes.add(now);
	}

	/**
	 * Records that a request ended, with any outcome.
	 */
	public void recordRequestEnded() {
		this.inFlight--;
	}

	/**
	 * Records the load that a response reports.
	 * @param requests the requests that the server is processing or has queued
	 * @param now the current time in nanoseconds
	 */
	public void recordReportedLoad(int requests, long now) {
		this.hasReport = true;
		this.saturated = false;
		this.reportedLoad = requests;
		this.inFlightAtReport = this.inFlight;
		this.reportedAt = now;
	}

	/**
	 * Records a response that the server itself produced.
	 * @param object the hash of the request's object
	 * @param success whether the request was served
	 * @param sentAt the time at which the request was sent, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	public void recordResponse(long object, boolean success, long sentAt, long now) {
		this.hasResponded = true;
		this.lastResponseAt = now;
		if (this.possiblyCold && sentAt - this.unreachableAt < 0) {
			this.possiblyCold = false;
			this.ejected = false;
		}
		this.consecutiveFailures = 0;
		this.failureRatio += FAILURE_WEIGHT * ((success ? 0 : 1) - this.failureRatio);
		if (success) {
			if (sentAt - this.pausedUntil >= 0) {
				this.returnLimit = (2 * this.returnLimit <= this.entry.slots()) ? 2 * this.returnLimit : 0;
			}
			this.servedAt.put(object, now);
			if (!this.ejected) {
				this.ejections = 0;
			}
		}
		else if (this.failureRatio > EJECTION_FAILURE_RATIO) {
			this.failureRatio = 0;
			eject(now);
		}
	}

	/**
	 * Records that a response was lost or is unusable.
	 * @param now the current time in nanoseconds
	 */
	public void recordFailure(long now) {
		this.consecutiveFailures++;
		if (this.consecutiveFailures >= FAILURES_BEFORE_EJECTION) {
			this.consecutiveFailures = 0;
			eject(now);
		}
	}

	/**
	 * Records that no response was received in time. A server that responded to other
	 * requests in the meantime is slow rather than unresponsive, which is not a failure.
	 * Without a recent report, its slots and its queue are taken by requests of other
	 * gateways.
	 * @param sentAt the time at which the request was sent, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	public void recordTimeout(long sentAt, long now) {
		this.saturated |= !hasRecentReport(now);
		if (!this.hasResponded || this.lastResponseAt - sentAt < 0) {
			recordFailure(now);
		}
	}

	/**
	 * Returns how much longer the server takes than expected.
	 * @return the slowness of the server
	 */
	Slowness slowness() {
		return this.slowness;
	}

	/**
	 * Records that the server was unreachable. A server that has just responded refuses
	 * connections because of its load and is not considered lost.
	 * @param now the current time in nanoseconds
	 */
	public void recordUnreachable(long now) {
		if (this.hasResponded && now - this.lastResponseAt < RECENT_RESPONSE_NANOS) {
			recordFailure(now);
		}
		else {
			recordLost(now);
		}
	}

	/**
	 * Records that the server is lost, that is, no longer running at its address. When it
	 * recovers it may be cold, which only an entry written afterwards can rule out. A
	 * response to a request sent before shows that the server was running all the time.
	 * @param now the current time in nanoseconds
	 */
	public void recordLost(long now) {
		this.possiblyCold = true;
		this.unreachableAt = now;
		eject(now);
	}

	/**
	 * Returns whether the server is ejected because of failures.
	 * @param now the current time in nanoseconds
	 * @return whether the server is ejected
	 */
	public boolean isEjected(long now) {
		if (this.ejected && now - this.ejectedUntil >= 0) {
			this.ejected = false;
		}
		return this.ejected;
	}

	/**
	 * Returns whether the server is cold, or may be cold because it was unreachable.
	 * @param now the current time in nanoseconds
	 * @return whether the server is considered cold
	 */
	public boolean isCold(long now) {
		if (this.cold && now - this.coldUntil >= 0) {
			this.cold = false;
		}
		if (this.possiblyCold && now - this.unreachableAt > POSSIBLY_COLD_NANOS) {
			this.possiblyCold = false;
		}
		return this.cold || this.possiblyCold;
	}

	/**
	 * Records that the server itself reported not to be cold.
	 * @param askedAt the time at which it was asked, in nanoseconds
	 */
	public void recordWarm(long askedAt) {
		if (askedAt - this.warmAt > 0) {
			this.warmAt = askedAt;
		}
	}

	/**
	 * Returns the number of requests that were sent in the last second and may have
	 * reached the server after it became cold.
	 * @param now the current time in nanoseconds
	 * @return the number of requests
	 */
	public int possiblyColdRequestsInLastSecond(long now) {
		long secondAgo = now - SECOND_NANOS;
		return this.requestTimes.countAfter((this.warmAt - secondAgo > 0) ? this.warmAt : secondAgo);
	}

	/**
	 * Estimates the number of requests that the server is processing or has queued for
	 * all gateways. A saturated server counts as full while one request is in flight,
	 * whose response would report the load: if each gateway counted its own requests
	 * only, together they would keep the server's queue longer than any request may wait.
	 * @param now the current time in nanoseconds
	 * @return the estimated number of requests
	 */
	public int load(long now) {
		if (!hasRecentReport(now)) {
			return (this.saturated && this.inFlight > 0) ? SATURATED_REQUESTS_PER_SLOT * this.entry.slots()
					: this.inFlight;
		}
		return Math.max(this.inFlight, this.reportedLoad + this.inFlight - this.inFlightAtReport);
	}

	/**
	 * Returns the load for each slot of the server.
	 * @param now the current time in nanoseconds
	 * @return the requests for each slot, above 1 where requests are queued
	 */
	public double utilization(long now) {
		return load(now) / (double) Math.max(1, this.entry.slots());
	}

	/**
	 * Returns whether the server served an object within a period before the current
	 * time.
	 * @param object the hash of the object
	 * @param withinNanos the period in nanoseconds
	 * @param now the current time in nanoseconds
	 * @return whether the server served the object within the period
	 */
	public boolean hasServed(long object, long withinNanos, long now) {
		Long lastServedAt = this.servedAt.get(object);
		return lastServedAt != null && now - lastServedAt < withinNanos;
	}

	/**
	 * Returns the time since the gateway discovered the server.
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds
	 */
	public long nanosSinceDiscovery(long now) {
		return now - this.discoveredAt;
	}

	/**
	 * Returns the entry of the server.
	 * @return the entry
	 */
	public RegisteredServer entry() {
		return this.entry;
	}

	/**
	 * Returns the region of the server.
	 * @return the region
	 */
	public String region() {
		return this.region;
	}

	/**
	 * Returns the hash of the server's identifier.
	 * @return the hash
	 */
	public long hash() {
		return this.hash;
	}

	/**
	 * Returns whether the load follows from a recent response.
	 * @param now the current time in nanoseconds
	 * @return whether a response reported the load recently
	 */
	boolean hasRecentReport(long now) {
		return this.hasReport && now - this.reportedAt <= REPORT_VALID_NANOS;
	}

	private void eject(long now) {
		this.ejected = true;
		this.ejectedUntil = now + (FIRST_EJECTION_NANOS << Math.min(MAXIMUM_EJECTION_SHIFT, this.ejections));
		this.ejections++;
	}

}
