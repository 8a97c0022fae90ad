package io.masticlane.share;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Tells when every entry host goes by the configuration in force, and all loans of former
 * ones have ended.
 */
public final class RevisionConvergence {

	private static final long LOANS_NANOS = TimeUnit.MILLISECONDS.toNanos(2_100);

	private static final long UNHEARD_NANOS = TimeUnit.SECONDS.toNanos(10);

	private List<String> others = List.of();

	private long inForceSince;

	private long behindAt;

	/**
	 * Takes a configuration into account that came into force.
	 * @param others the names of the other entry hosts
	 * @param now the present in nanoseconds
	 */
	public void configure(List<String> others, long now) {
		this.others = List.copyOf(others);
		this.inForceSince = now;
		this.behindAt = now;
	}

	/**
	 * Tells whether the configuration is settled.
	 * @param revision the revision in force
	 * @param removedShares whether a share may be in use of an entry host that is not
	 * configured any more
	 * @param heard returns the revision of an entry host that is heard
	 * @param now the present in nanoseconds
	 * @return whether every entry host goes by it
	 */
	public boolean isConverged(long revision, boolean removedShares, Function<String, Optional<Long>> heard, long now) {
		List<Optional<Long>> revisions = this.others.stream().map(heard).toList();
		boolean behind = revisions.stream().flatMap(Optional::stream).anyMatch((each) -> each < revision);
		boolean unheard = revisions.stream().anyMatch(Optional::isEmpty);
		if (behind || removedShares || (unheard && now - this.inForceSince < UNHEARD_NANOS)) {
			this.behindAt = now;
		}
		return (this.others.isEmpty() && !removedShares) || now - this.behindAt >= LOANS_NANOS;
	}

}
