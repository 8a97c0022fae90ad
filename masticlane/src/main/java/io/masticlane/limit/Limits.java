package io.masticlane.limit;

import java.util.HashMap;
import java.util.Map;

import io.masticlane.configuration.Configuration;

/**
 * The limits that hold fleet-wide, as this entry host may use them.
 */
public interface Limits {

	/**
	 * Returns the identifier of an organisation's rate and burst.
	 * @param organisation the name of the organisation
	 * @return the identifier of the limit
	 */
	static String ofOrganisation(String organisation) {
		return "organisation/" + organisation;
	}

	/**
	 * Takes a configuration into account.
	 * @param configuration the configuration
	 * @param revision the revision of the configuration
	 * @param now the present on the monotonic clock in nanoseconds
	 */
	void configure(Configuration configuration, long revision, long now);

	/**
	 * Takes tokens of a limit, if there are enough.
	 * @param limit the identifier of the limit
	 * @param tokens the tokens to take
	 * @param now the present on the monotonic clock in nanoseconds
	 * @return whether the tokens were taken
	 */
	boolean take(String limit, double tokens, long now);

	/**
	 * Divides every limit into equal shares that never move.
	 */
	final class EqualShares implements Limits {

		private final Map<String, TokenBucket> buckets = new HashMap<>();

		@Override
		public void configure(Configuration configuration, long revision, long now) {
			double share = 1.0 / Math.max(1, configuration.entryHosts().size());
			Map<String, TokenBucket> former = Map.copyOf(this.buckets);
			this.buckets.clear();
			configuration.organisations().forEach((each) -> {
				String limit = ofOrganisation(each.name());
				TokenBucket bucket = former.getOrDefault(limit, new TokenBucket(now));
				bucket.resize(each.requestsPerSecond() * share, each.burst() * share, now);
				this.buckets.put(limit, bucket);
			});
		}

		@Override
		public boolean take(String limit, double tokens, long now) {
			TokenBucket bucket = this.buckets.get(limit);
			return bucket != null && bucket.take(tokens, now);
		}

	}

}
