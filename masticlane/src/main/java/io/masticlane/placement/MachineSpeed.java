package io.masticlane.placement;

import java.util.concurrent.TimeUnit;

/**
 * How long work takes at present on the machine of a server, as its responses report. The
 * reports are compared with what the server usually reports, so that a figure that is
 * always the same, or of another scale, has no lasting effect. A machine that is slow for
 * good is covered by {@link Slowness}.
 */
public final class MachineSpeed {

	/**
	 * The age at which a report says nothing more: machines that are shared are slow for
	 * about 0.6 s at a time.
	 */
	private static final double SLOW_PHASE_MILLIS = 600;

	/**
	 * The time for which the machine was on average slow while a response was processed
	 * that reports a slow machine, half of a slow phase.
	 */
	private static final double MEAN_OVERLAP_MILLIS = SLOW_PHASE_MILLIS / 2;

	/**
	 * The largest factor that counts: that of machines in a slow phase. A factor of 4
	 * made misleading figures cost up to 31 percent of the mean response time in a model.
	 * Factors below 1 do not count, so that a misleading figure attracts no requests.
	 */
	private static final double MAXIMUM_FACTOR = 2.5;

	/**
	 * How far the usual figure may move, in doublings or halvings a second. Where a
	 * machine is slow for a sixth of the time, the usual figure remains that of the other
	 * times; a figure that becomes ten times as high is usual after 17 s.
	 */
	private static final double USUAL_DOUBLINGS_PER_SECOND = 0.2;

	/**
	 * The longest time between two reports that counts for the usual figure, so that a
	 * single report after a long silence does not define it.
	 */
	private static final double MAXIMUM_STEP_SECONDS = 2.5;

	private double usual = ServerLoad.USUAL_SLOWNESS;

	private double factor = 1;

	private long reportedAt;

	private boolean reported;

	/**
	 * Records the figure of a response.
	 * @param slowness how long work takes on the machine; 100 is usual
	 * @param now the current time in nanoseconds
	 */
	public void record(double slowness, long now) {
		double seconds = this.reported ? Math.min(MAXIMUM_STEP_SECONDS, millisSinceReport(now) / 1_000) : 0;
		double step = Math.pow(2, USUAL_DOUBLINGS_PER_SECOND * seconds);
		if (!this.reported && slowness > this.usual * MAXIMUM_FACTOR) {
			// The server counts in another unit.
			this.usual = slowness;
		}
		// The usual figure follows the median, which slow phases do not change.
		this.usual = (slowness > this.usual) ? Math.min(slowness, this.usual * step)
				: Math.max(slowness, this.usual / step);
		this.factor = Math.max(1, Math.min(MAXIMUM_FACTOR, slowness / this.usual));
		this.reported = true;
		this.reportedAt = now;
	}

	/**
	 * Discards the reports.
	 */
	void clear() {
		this.usual = ServerLoad.USUAL_SLOWNESS;
		this.reported = false;
	}

	/**
	 * Returns whether the server has ever reported the speed of its machine.
	 * @return whether there was a report
	 */
	public boolean isReported() {
		return this.reported;
	}

	/**
	 * Returns whether the last report still says something.
	 * @param now the current time in nanoseconds
	 * @return whether there is a recent report
	 */
	public boolean isRecent(long now) {
		return this.reported && millisSinceReport(now) < SLOW_PHASE_MILLIS;
	}

	/**
	 * Returns the factor by which work takes longer than usual at present. It ages
	 * towards 1, as the phase that a report is from may have ended since.
	 * @param now the current time in nanoseconds
	 * @return the factor, from 1 to 2.5
	 */
	double factor(long now) {
		return isRecent(now) ? 1 + (this.factor - 1) * (1 - millisSinceReport(now) / SLOW_PHASE_MILLIS) : 1;
	}

	/**
	 * Returns how much longer than usual a request is expected to take. Only the work of
	 * one slow phase is prolonged.
	 * @param usualMillis the time that the request usually takes
	 * @param now the current time in nanoseconds
	 * @return the additional time in milliseconds
	 */
	double additionalMillis(double usualMillis, long now) {
		return (factor(now) - 1) * Math.min(usualMillis, SLOW_PHASE_MILLIS);
	}

	/**
	 * Returns the response time that a machine of the usual speed would have had, so that
	 * what is learned from it holds beyond the slow phase. The machine was as slow as it
	 * reports for a part of that time only.
	 * @param measuredMillis the measured response time
	 * @param load the load that the response reports, which has just been recorded
	 * @return the response time at the usual speed in milliseconds
	 */
	public double atUsualSpeed(double measuredMillis, ServerLoad load) {
		return load.slowness().isPresent()
				? measuredMillis - Math.min(measuredMillis, MEAN_OVERLAP_MILLIS) * (1 - 1 / this.factor)
				: measuredMillis;
	}

	private double millisSinceReport(long now) {
		return Math.max(0, (now - this.reportedAt) / (double) TimeUnit.MILLISECONDS.toNanos(1));
	}

}
