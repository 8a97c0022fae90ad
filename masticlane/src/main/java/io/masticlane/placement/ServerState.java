package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

import io.masticlane.registry.RegisteredServer;

/**
 * A gateway's view of one backend server: its entry, its load, the objects that it
 * recently served, and its health.
 */
public final class ServerState {

	/**
	 * The period after a server was unreachable in which an entry with the same start
	 * time may have been written before the server became unreachable. It covers a read
	 * of the store's changes and the pause between reads.
	 */
	private static final long ENTRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

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

	private final long hash;

	private final ServedObjects servedObjects = new ServedObjects();

	private final Coldness coldness;

	private final ReportedLoad reportedLoad = new ReportedLoad();

	private final ServerPause pause = new ServerPause();

	private final ServerFailures failures = new ServerFailures();

	private final Slowness slowness = new Slowness();

	private final MachineSpeed machineSpeed = new MachineSpeed();

	private RegisteredServer entry;

	private final String region;

	private final long discoveredAt;

	private int inFlight;

	private boolean hasResponded;

	private long lastResponseAt;

	private boolean leaving;

	private long leavingUntil;

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
		this.coldness = new Coldness(now);
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
		if (restarted) {
			this.servedObjects.clear();
			this.reportedLoad.clear();
			this.machineSpeed.clear();
			this.failures.restart();
			this.leaving = false;
			this.pause.clear();
		}
		this.entry = updated;
		this.coldness.recordEntry(restarted, readDelayNanos, updated.coldMillis(), now);
	}

	/**
	 * Records that the server is cold.
	 * @param millis the time for which the server remains cold, in milliseconds
	 * @param now the current time in nanoseconds
	 */
	public void markCold(long millis, long now) {
		this.coldness.markCold(millis, now);
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
		return this.pause.record(millis, now);
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
		return this.pause.remainingMillis(now);
	}

	/**
	 * Returns whether the server returns from a pause and has as many requests in flight
	 * as it may at present.
	 * @param now the current time in nanoseconds
	 * @return whether the server may receive no further request until another one ended
	 */
	public boolean isReturnLimitReached(long now) {
		return this.pause.isReturnLimitReached(this.inFlight, now);
	}

	/**
	 * Records that a request is sent to the server.
	 * @param now the current time in nanoseconds
	 */
	public void recordRequestSent(long now) {
		this.inFlight++;
		this.coldness.recordRequestSent(now);
	}

	/**
	 * Records that a request ended, with any outcome.
	 */
	public void recordRequestEnded() {
		this.inFlight--;
	}

	/**
	 * Records the figures that the response to a request reports.
	 * @param load the figures, of which any may be missing
	 * @param now the current time in nanoseconds
	 */
	public void recordReport(ServerLoad load, long now) {
		load.requests().ifPresent((requests) -> recordReportedLoad(requests, now));
		load.slowness().ifPresent((figure) -> this.machineSpeed.record(figure, now));
	}

	/**
	 * Records the load that a response reports.
	 * @param requests the requests that the server is processing or has queued
	 * @param now the current time in nanoseconds
	 */
	public void recordReportedLoad(int requests, long now) {
		this.reportedLoad.record(requests, this.inFlight, now);
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
		if (this.coldness.recordResponse(sentAt)) {
			this.failures.readmit();
		}
		this.failures.recordResponse(success, now);
		if (success) {
			this.pause.recordServed(sentAt, this.entry.slots());
			this.servedObjects.record(object, now);
		}
	}

	/**
	 * Records that a response was lost or is unusable.
	 * @param now the current time in nanoseconds
	 */
	public void recordFailure(long now) {
		this.failures.recordFailure(now);
	}

	/**
	 * Records that no response was received in time. A server that responded to other
	 * requests in the meantime is slow rather than unresponsive, which is not a failure.
	 * @param sentAt the time at which the request was sent, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	public void recordTimeout(long sentAt, long now) {
		this.reportedLoad.recordTimeout(now);
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
	 * Returns how long work takes at present on the server's machine.
	 * @return the speed of the machine
	 */
	public MachineSpeed machineSpeed() {
		return this.machineSpeed;
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
		this.coldness.recordLost(now);
		this.failures.eject(now);
	}

	/**
	 * Returns whether the server is ejected because of failures.
	 * @param now the current time in nanoseconds
	 * @return whether the server is ejected
	 */
	public boolean isEjected(long now) {
		return this.failures.isEjected(now);
	}

	/**
	 * Returns whether the server is cold, or may be cold because it was unreachable.
	 * @param now the current time in nanoseconds
	 * @return whether the server is considered cold
	 */
	public boolean isCold(long now) {
		return this.coldness.isCold(now);
	}

	/**
	 * Records that the server itself reported not to be cold.
	 * @param askedAt the time at which it was asked, in nanoseconds
	 */
	public void recordWarm(long askedAt) {
		this.coldness.recordWarm(askedAt);
	}

	/**
	 * Returns the number of requests that were sent in the last second and may have
	 * reached the server after it became cold.
	 * @param now the current time in nanoseconds
	 * @return the number of requests
	 */
	public int possiblyColdRequestsInLastSecond(long now) {
		return this.coldness.requestsInLastSecond(now);
	}

	/**
	 * Estimates the number of requests that the server is processing or has queued for
	 * all gateways.
	 * @param now the current time in nanoseconds
	 * @return the estimated number of requests
	 */
	public int load(long now) {
		return this.reportedLoad.estimate(this.entry.slots(), this.inFlight, now);
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
		return this.servedObjects.contains(object, withinNanos, now);
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
		return this.reportedLoad.isRecent(now);
	}

}
