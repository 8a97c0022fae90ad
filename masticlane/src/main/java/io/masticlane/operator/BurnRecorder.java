package io.masticlane.operator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.masticlane.configuration.Objective;
import io.masticlane.failure.ErrorKind;

/**
 * Counts the requests that are subject to objectives, per minute of the last six hours.
 */
public final class BurnRecorder {

	/**
	 * The number of minutes that are kept, which covers the longest window of a report.
	 */
	public static final int KEPT_MINUTES = 6 * 60;

	private static final int MAXIMUM_SERIES = 2_048;

	private static final String ANSWERED = "answered";

	/**
	 * The results that count against an objective. Errors of the caller and an exceeded
	 * rate do not.
	 */
	private static final Set<String> REFUSED_RESULTS = Stream
		.concat(EnumSet
			.of(ErrorKind.OVERLOADED, ErrorKind.DEADLINE_EXCEEDED, ErrorKind.BACKEND_LOST, ErrorKind.OPERATION_UNKNOWN,
					ErrorKind.NOT_READY, ErrorKind.SHUTTING_DOWN, ErrorKind.SATURATED, ErrorKind.STALE)
			.stream()
			.map(ErrorKind::text), Stream.of("cut"))
		.collect(Collectors.toUnmodifiableSet());

	private final LongSupplier wallClockMillis;

	private final Map<Key, MinuteCounts> series = new ConcurrentHashMap<>();

	private volatile Map<String, Objective> objectives = Map.of();

	/**
	 * Creates a new recorder.
	 * @param wallClockMillis the wall clock in milliseconds since 1970
	 */
	public BurnRecorder(LongSupplier wallClockMillis) {
		this.wallClockMillis = wallClockMillis;
	}

	/**
	 * Replaces the objectives. Requests to services without an objective are not counted.
	 * @param objectives the objectives
	 */
	public void configure(List<Objective> objectives) {
		this.objectives = objectives.stream()
			.collect(Collectors.toUnmodifiableMap(Objective::service, Function.identity(), (first, second) -> first));
	}

	/**
	 * Records a request that ended.
	 * @param service the name of the service, or an empty string
	 * @param organisation the name of the organisation, or an empty string
	 * @param result the result: answered, abandoned, cut, or an error kind
	 * @param nanos the time in nanoseconds from the arrival to the end of the request
	 */
	public void recordRequest(String service, String organisation, String result, long nanos) {
		Objective objective = this.objectives.get(service);
		boolean refused = REFUSED_RESULTS.contains(result);
		if (objective == null || !(refused || result.equals(ANSWERED))) {
			return;
		}
		boolean slow = !refused && nanos > objective.latencyMillis() * TimeUnit.MILLISECONDS.toNanos(1);
		Key key = new Key(service, organisation);
		if (this.series.size() < MAXIMUM_SERIES || this.series.containsKey(key)) {
			this.series.computeIfAbsent(key, (absent) -> new MinuteCounts()).add(minute(), refused, slow);
		}
	}

	/**
	 * Returns the counts.
	 * @param host the name of the entry host
	 * @param region the region of the entry host
	 * @return the document
	 */
	public BurnDocument document(String host, String region) {
		long oldest = minute() - KEPT_MINUTES;
		List<BurnDocument.Series> counts = this.series.entrySet()
			.stream()
			.map((entry) -> new BurnDocument.Series(entry.getKey().service(), entry.getKey().organisation(),
					entry.getValue().since(oldest)))
			.toList();
		return new BurnDocument(host, region, List.copyOf(this.objectives.values()), counts);
	}

	private long minute() {
		return TimeUnit.MILLISECONDS.toMinutes(this.wallClockMillis.getAsLong());
	}

	private record Key(String service, String organisation) {
	}

	/**
	 * The counts of one organisation and service per minute, the latest minute first.
	 */
	private static final class MinuteCounts {

		private final Deque<BurnDocument.Minute> minutes = new ArrayDeque<>();

		synchronized void add(long minute, boolean refused, boolean slow) {
			BurnDocument.Minute last = this.minutes.peekFirst();
			if (last != null && last.minute() >= minute) {
				this.minutes.removeFirst();
			}
			else {
				last = new BurnDocument.Minute(minute, 0, 0, 0);
			}
			this.minutes.addFirst(new BurnDocument.Minute(last.minute(), last.answered() + (refused ? 0 : 1),
					last.slow() + (slow ? 1 : 0), last.refused() + (refused ? 1 : 0)));
			if (this.minutes.size() > KEPT_MINUTES) {
				this.minutes.removeLast();
			}
		}

		synchronized List<BurnDocument.Minute> since(long oldest) {
			return this.minutes.stream().filter((minute) -> minute.minute() >= oldest).toList();
		}

	}

}
