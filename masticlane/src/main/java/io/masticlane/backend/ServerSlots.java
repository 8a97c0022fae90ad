package io.masticlane.backend;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.BackendServer;
import io.masticlane.steering.AttemptResult;

/**
 * The slots of one backend server as this entry host may use them: its own share, and
 * beyond it an overflow window that grows with answers and shrinks with shedding. Reports
 * of the backend server lower what may be used and never raise it.
 */
final class ServerSlots {

	private static final long RAMP_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long SHORTEST_BACK_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private static final long SHORTEST_OVERFLOW_BACK_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final int MOST_DOUBLINGS = 6;

	private static final int MOST_OVERFLOW_DOUBLINGS = 7;

	private static final int FAILURES_OF_COLD_SERVER = 3;

	private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final long LEAVING_NANOS = TimeUnit.MINUTES.toNanos(10);

	private static final long TELL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final int RESERVED_PART = 4;

	private static final int IDLE_DIVISOR = 3;

	private BackendServer server;

	private int[] share;

	private int connectionShare;

	private int inUse;

	private double overflow = 1;

	private long overflowBackOffUntil;

	private int overflowFailures;

	private int failures;

	private int sheds;

	private long backOffUntil;

	private long rampUntil;

	private long leavingUntil;

	private long tellUntil;

	private BackendReport report = BackendReport.NONE;

	private long reportedAt;

	ServerSlots(boolean cold, long now) {
		this.backOffUntil = now;
		this.overflowBackOffUntil = now;
		this.rampUntil = cold ? now + RAMP_NANOS : now;
		this.leavingUntil = now;
		this.tellUntil = now;
		this.reportedAt = now;
	}

	void configure(BackendServer server, int[] share, int connectionShare, long now) {
		if (this.server != null && !this.server.address().equals(server.address())) {
			this.rampUntil = now + RAMP_NANOS;
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
		int others = this.server.slots() - this.share.length;
		int window = Math.min(others, (int) this.overflow);
		boolean possible = switch (allowed) {
			case NONE -> false;
			case REPORTED_FREE -> reportFresh(now);
			case IDLE ->
				now - this.reportedAt > REPORT_NANOS || this.report.inUse() * IDLE_DIVISOR < this.server.slots();
			case ANY -> true;
		};
		return possible && !ramping(now) && this.overflowBackOffUntil - now <= 0
				&& this.inUse < this.share.length + window && !reportedBusy(now);
	}

	/**
	 * Takes a slot.
	 * @param now the present in nanoseconds
	 * @return whether the slot lies outside the own share
	 */
	boolean tryAcquire(long now) {
		boolean overflowing = !hasFreeOwnSlot(now);
		this.inUse++;
		return overflowing;
	}

	void release(AttemptResult end, long now) {
		boolean overflowing = this.inUse > this.share.length;
		this.inUse--;
		switch (end) {
			case ANSWERED -> answered(overflowing, now);
			case SHED -> shed(overflowing, now);
			case LOST, NOT_SENT -> failed(now);
			case TIMED_OUT, ABANDONED, CANCELLED -> {
			}
		}
	}

	void updateReport(BackendReport report, long now) {
		this.report = report;
		this.reportedAt = now;
		if (report.leaving()) {
			this.tellUntil = now + TELL_NANOS;
			markLeaving(now);
		}
	}

	void markLeaving(long now) {
		this.leavingUntil = now + LEAVING_NANOS;
	}

	boolean hasReportedLeaving(long now) {
		return this.tellUntil - now > 0;
	}

	private int ownSlots(long now) {
		int own = ramping(now) ? rampedShare(rampedSlots(now)) : this.share.length;
		if (own > 0 && reportFresh(now) && this.report.slots() < this.server.slots()) {
			return Math.max(1, own * this.report.slots() / this.server.slots());
		}
		return own;
	}

	private int rampedShare(int bound) {
		return (int) Arrays.stream(this.share).filter((slot) -> slot < bound).count();
	}

	private boolean ramping(long now) {
		return this.rampUntil - now > 0;
	}

	private int rampedSlots(long now) {
		long elapsed = RAMP_NANOS - (this.rampUntil - now);
		return (int) Math.max(1, this.server.slots() * elapsed / RAMP_NANOS);
	}

	private boolean reportFresh(long now) {
		return now - this.reportedAt < REPORT_NANOS;
	}

	private boolean reportedBusy(long now) {
		int reserved = Math.max(1, this.server.slots() / RESERVED_PART);
		int slots = Math.min(this.server.slots(), this.report.slots());
		return reportFresh(now) && this.report.inUse() >= slots - reserved;
	}

	private void answered(boolean overflowing, long now) {
		if (this.failures >= FAILURES_OF_COLD_SERVER) {
			this.rampUntil = now + RAMP_NANOS;
		}
		this.failures = 0;
		this.sheds = 0;
		if (overflowing && reportedBusy(now)) {
			backOffOverflow(now);
		}
		else if (overflowing) {
			this.overflowFailures = 0;
			this.overflow = Math.min(this.server.slots(), this.overflow + 1 / this.overflow);
		}
	}

	private void shed(boolean overflowing, long now) {
		backOffOverflow(now);
		if (!overflowing) {
			backOff(this.sheds++, 1, now);
		}
	}

	private void failed(long now) {
		this.overflow = 1;
		backOff(this.failures++, MOST_DOUBLINGS, now);
	}

	private void backOffOverflow(long now) {
		this.overflow = Math.max(1, this.overflow / 2);
		this.overflowBackOffUntil = now
				+ (SHORTEST_OVERFLOW_BACK_OFF_NANOS << Math.min(this.overflowFailures++, MOST_OVERFLOW_DOUBLINGS));
	}

	private void backOff(int former, int mostDoublings, long now) {
		this.backOffUntil = now + (SHORTEST_BACK_OFF_NANOS << Math.min(former, mostDoublings));
	}

}
