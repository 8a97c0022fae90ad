package io.masticlane.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.masticlane.registry.RegisteredServer;

/**
 * What a gateway knows of one backend server: its entry, its load, which objects it
 * served lately and whether it answers.
 */
public final class ServerState {

	/**
	 * The age at which a reported load counts no more, in nanoseconds.
	 */
	private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * The objects that are remembered for each server; servers keep fewer warm.
	 */
	private static final int REMEMBERED_OBJECTS = 64;

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The first ejection, in nanoseconds; it doubles up to eight times that.
	 */
	private static final long EJECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final int LARGEST_EJECTION_SHIFT = 3;

	/**
	 * The failures in a row after which a server is ejected.
	 */
	private static final int FAILURES_TO_EJECT = 3;

	/**
	 * How long after a server could not be reached an entry of the same start may still
	 * be from before, in nanoseconds: a read of the store's changes and its pause.
	 */
	private static final long ENTRY_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * How long after a server could not be reached it may still be cold if no entry
	 * tells, in nanoseconds; a start is cold for some seconds.
	 */
	private static final long UNREACHED_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * How long after an answer a failed connection tells of a crowded server rather than
	 * of a lost one, in nanoseconds; no server starts again within it.
	 */
	private static final long ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final double FAILURE_WEIGHT = 0.15;

	/**
	 * The share of failures at which a server is ejected though some requests succeed.
	 */
	private static final double FAILURE_RATIO = 0.35;

	private final long hash;

	private final Map<Long, Long> served = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > REMEMBERED_OBJECTS;
		}
	};

	private final Deque<Long> coldSends = new ArrayDeque<>();

	private RegisteredServer entry;

	private final String region;

	private final long learntAt;

	private int inFlight;

	private int reportedLoad;

	private int inFlightAtReport;

	private long reportedAt;

	private boolean reported;

	private long coldUntil;

	private boolean cold;

	private boolean unreached;

	private long unreachedAt;

	private boolean answered;

	private long answeredAt;

	private long ejectedUntil;

	private boolean ejected;

	private int ejections;

	private int failuresInRow;

	private double failureRatio;

	/**
	 * Creates the state of a server.
	 * @param entry the entry of the server
	 * @param region the region of its data centre
	 * @param now the present in nanoseconds
	 */
	public ServerState(RegisteredServer entry, String region, long now) {
		this.hash = Rendezvous.hash(entry.id());
		this.region = region;
		this.learntAt = now;
		entry(entry, now);
	}

	/**
	 * Takes a new entry of the server.
	 * @param written the entry
	 * @param now the present in nanoseconds
	 */
	public void entry(RegisteredServer written, long now) {
		boolean restarted = this.entry != null && this.entry.startedAt() != written.startedAt();
		if (restarted || now - this.unreachedAt > ENTRY_LAG_NANOS) {
			this.unreached = false;
		}
		if (restarted) {
			this.served.clear();
			this.reported = false;
			this.failuresInRow = 0;
			this.failureRatio = 0;
			this.ejected = false;
		}
		this.entry = written;
		this.cold = false;
		if (written.coldMillis() > 0) {
			markCold(written.coldMillis(), now);
		}
	}

	/**
	 * Records that the server is cold.
	 * @param millis how much longer it stays cold, in milliseconds
	 * @param now the present in nanoseconds
	 */
	public void markCold(long millis, long now) {
		this.cold = true;
		this.coldUntil = now + TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Records that a request is sent.
	 * @param now the present in nanoseconds
	 */
	public void recordRequestSent(long now) {
		this.inFlight++;
		if (isCold(now)) {
			this.coldSends.addLast(now);
		}
	}

	/**
	 * Records that a request ended, in whatever way.
	 */
	public void recordRequestEnded() {
		this.inFlight--;
	}

	/**
	 * Records the load that an answer tells.
	 * @param requests the requests that the server runs and queues
	 * @param now the present in nanoseconds
	 */
	public void recordReportedLoad(int requests, long now) {
		this.reported = true;
		this.reportedLoad = requests;
		this.inFlightAtReport = this.inFlight;
		this.reportedAt = now;
	}

	/**
	 * Records an answer of the server's own making.
	 * @param object the hash of the object
	 * @param success whether the request was served
	 * @param sentAt the time at which the request was sent, in nanoseconds
	 * @param now the present in nanoseconds
	 */
	public void recordResponse(long object, boolean success, long sentAt, long now) {
		this.answered = true;
		this.answeredAt = now;
		if (this.unreached && sentAt - this.unreachedAt < 0) {
			this.unreached = false;
			this.ejected = false;
		}
		this.failuresInRow = 0;
		this.failureRatio += FAILURE_WEIGHT * ((success ? 0 : 1) - this.failureRatio);
		if (success) {
			this.served.put(object, now);
			if (!this.ejected) {
				this.ejections = 0;
			}
		}
		else if (this.failureRatio > FAILURE_RATIO) {
			this.failureRatio = 0;
			eject(now);
		}
	}

	/**
	 * Records that an answer was lost or cannot be used.
	 * @param now the present in nanoseconds
	 */
	public void recordFailure(long now) {
		this.failuresInRow++;
		if (this.failuresInRow >= FAILURES_TO_EJECT) {
			this.failuresInRow = 0;
			eject(now);
		}
	}

	/**
	 * Records that no answer came in time. A server that answered others meanwhile is
	 * slow and not silent.
	 * @param sentAt the time at which the request was sent, in nanoseconds
	 * @param now the present in nanoseconds
	 */
	public void recordTimeout(long sentAt, long now) {
		if (!this.answered || this.answeredAt - sentAt < 0) {
			recordFailure(now);
		}
	}

	/**
	 * Records that the server could not be reached. One that has just answered turns
	 * connections away for load.
	 * @param now the present in nanoseconds
	 */
	public void recordUnreachable(long now) {
		if (this.answered && now - this.answeredAt < ALIVE_NANOS) {
			recordFailure(now);
		}
		else {
			recordLost(now);
		}
	}

	/**
	 * Records that the server is not at its address any more. When it comes back it may
	 * be cold, which only an entry written since can tell; the answer to a request from
	 * before tells that it has not been away.
	 * @param now the present in nanoseconds
	 */
	public void recordLost(long now) {
		this.unreached = true;
		this.unreachedAt = now;
		eject(now);
	}

	/**
	 * Returns whether the server is kept out for its failures.
	 * @param now the present in nanoseconds
	 * @return whether the server is kept out
	 */
	public boolean isEjected(long now) {
		if (this.ejected && now - this.ejectedUntil >= 0) {
			this.ejected = false;
		}
		return this.ejected;
	}

	/**
	 * Returns whether the server is cold or may be so since it could not be reached.
	 * @param now the present in nanoseconds
	 * @return whether the server is to be taken for cold
	 */
	public boolean isCold(long now) {
		if (this.cold && now - this.coldUntil >= 0) {
			this.cold = false;
		}
		if (this.unreached && now - this.unreachedAt > UNREACHED_NANOS) {
			this.unreached = false;
		}
		return this.cold || this.unreached;
	}

	/**
	 * Returns the requests that were sent in the last second while the server was cold.
	 * @param now the present in nanoseconds
	 * @return the requests
	 */
	public int coldRequestsInLastSecond(long now) {
		while (!this.coldSends.isEmpty() && now - this.coldSends.peekFirst() > SECOND_NANOS) {
			this.coldSends.pollFirst();
		}
		return this.coldSends.size();
	}

	/**
	 * Estimates the requests that the server runs and queues for all gateways.
	 * @param now the present in nanoseconds
	 * @return the estimated requests
	 */
	public int load(long now) {
		if (!this.reported || now - this.reportedAt > REPORT_NANOS) {
			return this.inFlight;
		}
		return Math.max(this.inFlight, this.reportedLoad + this.inFlight - this.inFlightAtReport);
	}

	/**
	 * Returns whether the server served an object lately.
	 * @param object the hash of the object
	 * @param withinNanos what counts as lately
	 * @param now the present in nanoseconds
	 * @return whether the server served the object
	 */
	public boolean hasServed(long object, long withinNanos, long now) {
		Long at = this.served.get(object);
		return at != null && now - at < withinNanos;
	}

	/**
	 * Returns the time since the gateway learnt of the server.
	 * @param now the present in nanoseconds
	 * @return the time in nanoseconds
	 */
	public long nanosSinceDiscovery(long now) {
		return now - this.learntAt;
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

	private void eject(long now) {
		this.ejected = true;
		this.ejectedUntil = now + (EJECTION_NANOS << Math.min(LARGEST_EJECTION_SHIFT, this.ejections));
		this.ejections++;
	}

}
