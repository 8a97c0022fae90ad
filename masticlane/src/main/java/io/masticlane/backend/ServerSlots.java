package io.masticlane.backend;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.BackendServer;
import io.masticlane.steering.AttemptResult;

/**
 * The slots of one backend server that this entry host may use: its own share, and beyond
 * it an overflow window that grows with successful responses and shrinks when requests
 * are shed. Reports of the backend server can lower the number of usable slots but never
 * raise it.
 */
final class ServerSlots {

	private static final long RAMP_UP_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long INITIAL_BACK_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final long INITIAL_OVERFLOW_BACK_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int MAXIMUM_BACK_OFF_DOUBLINGS = 6;

	private static final int MAXIMUM_OVERFLOW_BACK_OFF_DOUBLINGS = 7;

	private static final int RAMP_UP_FAILURE_THRESHOLD = 3;

	private static final long REPORT_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long LEAVING_VALIDITY_NANOS = TimeUnit.MINUTES.toNanos(10);

	private static final long LEAVING_ANNOUNCEMENT_NANOS = TimeUnit.SECONDS.toNanos(5);

	/**
	 * The fraction of slots that overflow leaves free at a busy backend server, as a
	 * divisor.
	 */
	private static final int RESERVED_DIVISOR = 4;

	/**
	 * The fraction of slots in use below which a backend server is mostly idle, as a
	 * divisor.
	 */
	private static final int IDLE_DIVISOR = 3;

	private BackendServer server;

	private int[] share;

	private int connectionShare;

	private int inUse;

	private double overflowWindow = 1;

	private long overflowBackOffUntil;

	private int overflowFailures;

	private int consecutiveFailures;

	private int consecutiveSheds;

	private long backOffUntil;

	private long rampUpUntil;

	private long leavingUntil;

	private long announceLeavingUntil;

	private BackendReport report = BackendReport.NONE;

	private long reportedAt;

	ServerSlots(boolean cold, long now) {
		this.backOffUntil = now;
		this.overflowBackOffUntil = now;
		this.rampUpUntil = cold ? now + RAMP_UP_NANOS : now;
		this.leavingUntil = now;
		this.announceLeavingUntil = now;
		this.reportedAt = now;
	}

	void configure(BackendServer server, int[] share, int connectionShare, long now) {
		if (this.server != null && !this.server.address().equals(server.address())) {
			this.rampUpUntil = now + RAMP_UP_NANOS;
			this.leavingUntil = now;
		}
		this.server = server;
		this.share = share;
		this.connectionShare = connectionShare;
	}

	BackendServer server() {
		return this.server;
	}

	int inUse() {
		return this.inUse;
	}

	double utilization() {
		return (double) this.inUse / this.server.slots();
	}

	boolean isAvailable(long now) {
		return !this.server.leaving() && this.leavingUntil - now <= 0 && this.backOffUntil - now <= 0
				&& this.inUse < this.connectionShare;
	}

	boolean hasFreeOwnSlot(long now) {
		return this.inUse < ownSlots(now);
	}

	boolean hasFreeOverflowSlot(Balancer.Overflow allowed, long now) {
		int otherSlots = this.server.slots() - this.share.length;
		int window = Math.min(otherSlots, (int) this.overflowWindow);
		boolean permitted = switch (allowed) {
			case NONE -> false;
			case REPORTED_FREE -> isReportCurrent(now);
			case IDLE -> now - this.reportedAt > REPORT_VALIDITY_NANOS
					|| this.report.inUse() * IDLE_DIVISOR < this.server.slots();
			case ANY -> true;
		};
		return permitted && !isRampingUp(now) && this.overflowBackOffUntil - now <= 0
				&& this.inUse < this.share.length + window && !isReportedBusy(now);
	}

	/**
	 * Acquires a slot.
	 * @param now the current time in nanoseconds
	 * @return whether the slot is outside the share of this entry host
	 */
	boolean acquire(long now) {
		boolean overflowing = !hasFreeOwnSlot(now);
		this.inUse++;
		return overflowing;
	}

	void release(AttemptResult result, long now) {
		boolean overflowing = this.inUse > this.share.length;
		this.inUse--;
		switch (result) {
			case ANSWERED -> recordResponse(overflowing, now);
			case SHED -> recordShed(overflowing, now);
			case LOST, NOT_SENT -> recordFailure(now);
			case TIMED_OUT, ABANDONED, CANCELLED -> {
			}
		}
	}

	void updateReport(BackendReport report, long now) {
		this.report = report;
		this.reportedAt = now;
		if (report.leaving()) {
			this.announceLeavingUntil = now + LEAVING_ANNOUNCEMENT_NANOS;
			markLeaving(now);
		}
	}

	void markLeaving(long now) {
		this.leavingUntil = now + LEAVING_VALIDITY_NANOS;
	}

	boolean hasReportedLeaving(long now) {
		return this.announceLeavingUntil - now > 0;
	}

	private int ownSlots(long now) {
		int own = isRampingUp(now) ? rampUpShare(rampUpSlots(now)) : this.share.length;
		if (own > 0 && isReportCurrent(now) && this.report.slots() < this.server.slots()) {
			return Math.max(1, own * this.report.slots() / this.server.slots());
		}
		return own;
	}

	private int rampUpShare(int slotLimit) {
		return (int) Arrays.stream(this.share).filter((slot) -> slot < slotLimit).count();
	}

	private boolean isRampingUp(long now) {
		return this.rampUpUntil - now > 0;
	}

	private int rampUpSlots(long now) {
		long elapsed = RAMP_UP_NANOS - (this.rampUpUntil - now);
		return (int) Math.max(1, this.server.slots() * elapsed / RAMP_UP_NANOS);
	}

	private boolean isReportCurrent(long now) {
		return now - this.reportedAt < REPORT_VALIDITY_NANOS;
	}

	private boolean isReportedBusy(long now) {
		int reserved = Math.max(1, this.server.slots() / RESERVED_DIVISOR);
		int slots = Math.min(this.server.slots(), this.report.slots());
		return isReportCurrent(now) && this.report.inUse() >= slots - reserved;
	}

	private void recordResponse(boolean overflowing, long now) {
		if (this.consecutiveFailures >= RAMP_UP_FAILURE_THRESHOLD) {
			this.rampUpUntil = now + RAMP_UP_NANOS;
		}
		this.consecutiveFailures = 0;
		this.consecutiveSheds = 0;
		if (overflowing && isReportedBusy(now)) {
			backOffOverflow(now);
		}
		else if (overflowing) {
			this.overflowFailures = 0;
			this.overflowWindow = Math.min(this.server.slots(), this.overflowWindow + 1 / this.overflowWindow);
		}
	}

	private void recordShed(boolean overflowing, long now) {
		backOffOverflow(now);
		if (!overflowing) {
			backOff(this.consecutiveSheds++, 1, now);
		}
	}

	private void recordFailure(long now) {
		this.overflowWindow = 1;
		backOff(this.consecutiveFailures++, MAXIMUM_BACK_OFF_DOUBLINGS, now);
	}

	private void backOffOverflow(long now) {
		this.overflowWindow = Math.max(1, this.overflowWindow / 2);
		this.overflowBackOffUntil = now + (INITIAL_OVERFLOW_BACK_OFF_NANOS << Math.min(this.overflowFailures++,
				MAXIMUM_OVERFLOW_BACK_OFF_DOUBLINGS));
	}

	private void backOff(int previousFailures, int maximumDoublings, long now) {
		this.backOffUntil = now + (INITIAL_BACK_OFF_NANOS << Math.min(previousFailures, maximumDoublings));
	}

}
