package io.masticlane.limit;

import java.util.HashMap;
import java.util.Map;

import io.masticlane.configuration.Configuration;

/**
 * The fleet-wide limits, as far as this entry host may use them.
 */
public interface Limits {

	/**
	 * Returns the identifier of the limit on an organisation's requests per second.
	 * @param organisation the name of the organisation
	 * @return the identifier of the limit
	 */
	static String organisationIdentifier(String organisation) {
		return "organisation/" + organisation;
	}

	/**
	 * Returns the identifier of the limit on a region's requests per second.
	 * @param region the name of the region
	 * @return the identifier of the limit
	 */
	static String regionIdentifier(String region) {
		return "region/" + region;
	}

	/**
	 * Returns the identifier of the limit on bytes per second from one region to another.
	 * @param from the name of the sending region
	 * @param to the name of the receiving region
	 * @return the identifier of the limit
	 */
	static String linkIdentifier(String from, String to) {
		return "link/" + from + "/" + to;
	}

	/**
	 * Returns the identifier of the limit on requests per second that a planned move
	 * shifts.
	 * @param move the name of the planned move
	 * @return the identifier of the limit
	 */
	static String moveIdentifier(String move) {
		return "move/" + move;
	}

	/**
	 * Applies a configuration.
	 * @param configuration the configuration
	 * @param revision the revision of the configuration
	 * @param now the current monotonic time in nanoseconds
	 */
	void configure(Configuration configuration, long revision, long now);

	/**
	 * Acquires tokens of a limit if enough are available.
	 * @param limit the identifier of the limit
	 * @param tokens the number of tokens
	 * @param now the current monotonic time in nanoseconds
	 * @return whether the tokens were acquired
	 */
	boolean tryAcquire(String limit, double tokens, long now);

	/**
	 * Acquires tokens for a request whose demand was recorded by an earlier call, if
	 * enough are available.
	 * @param limit the identifier of the limit
	 * @param tokens the number of tokens
	 * @param now the current monotonic time in nanoseconds
	 * @return whether the tokens were acquired
	 */
	default boolean tryAcquireDelayed(String limit, double tokens, long now) {
		return tryAcquire(limit, tokens, now);
	}

	/**
	 * Returns the estimated time until tokens may be available.
	 * @param limit the identifier of the limit
	 * @param tokens the number of tokens
	 * @param now the current monotonic time in nanoseconds
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} if the time is unknown
	 */
	long nanosUntilAvailable(String limit, double tokens, long now);

	/**
	 * Divides every limit into equal, fixed shares.
	 */
	final class EqualShares implements Limits {

		private final Map<String, TokenBucket> buckets = new HashMap<>();

		@Override
		public void configure(Configuration configuration, long revision, long now) {
			double share = 1.0 / Math.max(1, configuration.entryHosts().size());
			Map<String, TokenBucket> previous = Map.copyOf(this.buckets);
			this.buckets.clear();
			FleetLimit.of(configuration).forEach((each) -> {
				TokenBucket bucket = previous.getOrDefault(each.identifier(), new TokenBucket(now));
				bucket.resize(each.rate() * share, each.burst() * share, now);
				this.buckets.put(each.identifier(), bucket);
			});
		}

		@Override
		public boolean tryAcquire(String limit, double tokens, long now) {
			TokenBucket bucket = this.buckets.get(limit);
			return bucket != null && bucket.tryAcquire(tokens, now);
		}

		@Override
		public long nanosUntilAvailable(String limit, double tokens, long now) {
			TokenBucket bucket = this.buckets.get(limit);
			return (bucket != null) ? bucket.nanosUntilAvailable(tokens, now) : Long.MAX_VALUE;
		}

	}

}
