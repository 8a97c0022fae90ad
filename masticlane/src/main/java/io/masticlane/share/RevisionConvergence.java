package io.masticlane.share;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Determines when every entry host uses the current configuration and all loans of
 * previous ones have expired.
 */
public final class RevisionConvergence {

	private static final long LOAN_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);

	private static final long UNRESPONSIVE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

	private List<String> others = List.of();

	private long configuredAt;

	private long lastBehindAt;

	/**
	 * Starts to wait for the other entry hosts to use a new configuration.
	 * @param others the names of the other entry hosts
	 * @param now the current time in nanoseconds
	 */
	public void configure(List<String> others, long now) {
		this.others = List.copyOf(others);
		this.configuredAt = now;
		this.lastBehindAt = now;
	}

	/**
	 * Returns whether every entry host uses the current configuration.
	 * @param revision the current revision
	 * @param unconfiguredShares whether a share of an entry host that is no longer
	 * configured may be in use
	 * @param reportedRevision returns the revision that an entry host last reported, if
	 * it is responsive
	 * @param now the current time in nanoseconds
	 * @return whether every entry host uses it and all loans of previous revisions have
	 * expired
	 */
	public boolean isConverged(long revision, boolean unconfiguredShares,
			Function<String, Optional<Long>> reportedRevision, long now) {
		List<Optional<Long>> revisions = this.others.stream().map(reportedRevision).toList();
		boolean behind = revisions.stream().flatMap(Optional::stream).anyMatch((each) -> each < revision);
		boolean unknown = revisions.stream().anyMatch(Optional::isEmpty);
		if (behind || unconfiguredShares || (unknown && now - this.configuredAt < UNRESPONSIVE_WAIT_NANOS)) {
			this.lastBehindAt = now;
		}
		return (this.others.isEmpty() && !unconfiguredShares) || now - this.lastBehindAt >= LOAN_EXPIRY_NANOS;
	}

}
