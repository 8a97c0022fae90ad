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
	static String organisationIdentifier(String organisation) {
		return "organisation/" + organisation;
	}

	/**
	 * Returns the identifier of the requests per second that a region takes.
	 * @param region the name of the region
	 * @return the identifier of the limit
	 */
	static String regionIdentifier(String region) {
		return "region/" + region;
	}

	/**
	 * Returns the identifier of the bytes per second from one region to another.
	 * @param from the name of the region that sends
	 * @param to the name of the region that receives
	 * @return the identifier of the limit
	 */
	static String linkIdentifier(String from, String to) {
		return "link/" + from + "/" + to;
	}

	/**
	 * Returns the identifier of the requests per second that a planned move shifts.
	 * @param move the name of the planned move
	 * @return the identifier of the limit
	 */
	static String moveIdentifier(String move) {
		return "move/" + move;
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
	boolean tryAcquire(String limit, double tokens, long now);

	/**
	 * Takes tokens for a request that was counted as demand by an earlier call, if there
	 * are enough.
	 * @param limit the identifier of the limit
	 * @param tokens the tokens to take
	 * @param now the present on the monotonic clock in nanoseconds
	 * @return whether the tokens were taken
	 */
	default boolean tryAcquireDelayed(String limit, double tokens, long now) {
		return tryAcquire(limit, tokens, now);
	}

	/**
	 * Returns the time until tokens may be there, as far as this entry host knows.
	 * @param limit the identifier of the limit
	 * @param tokens the tokens
	 * @param now the present on the monotonic clock in nanoseconds
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} if no time can be told
	 */
	long nanosUntilAvailable(String limit, double tokens, long now);

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
			FleetLimit.of(configuration).forEach((each) -> {
				TokenBucket bucket = former.getOrDefault(each.identifier(), new TokenBucket(now));
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
