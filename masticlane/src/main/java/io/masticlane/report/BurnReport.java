package io.masticlane.report;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import io.masticlane.configuration.Objective;
import io.masticlane.operator.BurnDocument;

/**
 * The burn rates of error budgets over short and long windows, by service, organisation
 * and region. A burn rate of 1 uses up exactly the budget. A budget burns too fast if the
 * burn rates over both windows of a pair exceed the limit of the pair.
 *
 * @param rows the rows, ordered by service, scope and name
 */
public record BurnReport(List<Row> rows) {

	/**
	 * The windows in minutes, as two pairs of a short and a long window.
	 */
	public static final List<Integer> WINDOW_MINUTES = List.of(5, 60, 30, 360);

	private static final double FAST_BURN_LIMIT = 14.4;

	private static final double SLOW_BURN_LIMIT = 6;

	/**
	 * Creates a new report.
	 * @param documents the documents of the entry hosts
	 * @param minute the current time in minutes since 1970
	 * @return the report
	 */
	public static BurnReport of(List<BurnDocument> documents, long minute) {
		Map<Scope, Totals> totals = new TreeMap<>(
				Comparator.comparing(Scope::service).thenComparing(Scope::kind).thenComparing(Scope::name));
		documents.forEach((document) -> document.series()
			.forEach((series) -> scopes(document, series).forEach(
					(scope) -> totals.computeIfAbsent(scope, (absent) -> new Totals()).add(series.minutes(), minute))));
		Map<String, Objective> objectives = new TreeMap<>();
		documents.forEach((document) -> document.objectives()
			.forEach((objective) -> objectives.putIfAbsent(objective.service(), objective)));
		return new BurnReport(totals.entrySet()
			.stream()
			.filter((entry) -> objectives.containsKey(entry.getKey().service()))
			.map((entry) -> entry.getValue().row(entry.getKey(), objectives.get(entry.getKey().service())))
			.toList());
	}

	/**
	 * Returns whether any budget burns too fast.
	 * @return whether any budget burns too fast
	 */
	public boolean tooFast() {
		return this.rows.stream().anyMatch(Row::tooFast);
	}

	/**
	 * Returns the organisation whose error budget for a service burns fastest over the
	 * longest window.
	 * @param service the name of the service
	 * @return the row of the organisation, or an empty stream if the service had no
	 * requests
	 */
	public Stream<Row> worstServed(String service) {
		return this.rows.stream()
			.filter((row) -> row.scope().service().equals(service) && row.scope().kind().equals(Scope.ORGANISATION))
			.max(Comparator.comparingDouble(Row::highestBurnRate))
			.stream();
	}

	private static List<Scope> scopes(BurnDocument document, BurnDocument.Series series) {
		return List.of(new Scope(series.service(), Scope.ALL, "all"),
				new Scope(series.service(), Scope.ORGANISATION, series.organisation()),
				new Scope(series.service(), Scope.REGION, document.region()));
	}

	/**
	 * The requests that a row covers.
	 *
	 * @param service the name of the service
	 * @param kind all, organisation or region
	 * @param name the name of the organisation or region
	 */
	public record Scope(String service, String kind, String name) {

		static final String ALL = "all";

		static final String ORGANISATION = "organisation";

		static final String REGION = "region";

	}

	/**
	 * The burn rates of one scope.
	 *
	 * @param scope the scope
	 * @param requests the requests of the longest window
	 * @param slowBurn the burn rates of the budget for slow responses, one per window
	 * @param refusedBurn the burn rates of the budget for refusals, one per window
	 */
	public record Row(Scope scope, long requests, List<Double> slowBurn, List<Double> refusedBurn) {

		/**
		 * Returns whether one of the budgets burns too fast.
		 * @return whether one of the budgets burns too fast
		 */
		public boolean tooFast() {
			return tooFast(this.slowBurn) || tooFast(this.refusedBurn);
		}

		/**
		 * Returns the remaining fraction of the budget over the longest window, for the
		 * budget of which less remains.
		 * @return the remaining fraction, negative if the budget is overspent
		 */
		public double left() {
			return 1 - highestBurnRate();
		}

		double highestBurnRate() {
			int last = WINDOW_MINUTES.size() - 1;
			return Math.max(this.slowBurn.get(last), this.refusedBurn.get(last));
		}

		private static boolean tooFast(List<Double> burnRates) {
			return (burnRates.get(0) > FAST_BURN_LIMIT && burnRates.get(1) > FAST_BURN_LIMIT)
					|| (burnRates.get(2) > SLOW_BURN_LIMIT && burnRates.get(3) > SLOW_BURN_LIMIT);
		}

	}

	/**
	 * The request counts of one scope, one per window.
	 */
	private static final class Totals {

		private final long[] answered = new long[WINDOW_MINUTES.size()];

		private final long[] slow = new long[WINDOW_MINUTES.size()];

		private final long[] refused = new long[WINDOW_MINUTES.size()];

		void add(List<BurnDocument.Minute> minutes, long currentMinute) {
			for (int index = 0; index < WINDOW_MINUTES.size(); index++) {
				long windowStart = currentMinute - WINDOW_MINUTES.get(index);
				this.answered[index] += sum(minutes, windowStart, BurnDocument.Minute::answered);
				this.slow[index] += sum(minutes, windowStart, BurnDocument.Minute::slow);
				this.refused[index] += sum(minutes, windowStart, BurnDocument.Minute::refused);
			}
		}

		Row row(Scope scope, Objective objective) {
			int last = WINDOW_MINUTES.size() - 1;
			return new Row(scope, this.answered[last] + this.refused[last],
					burnRates(this.slow, this.answered, new long[WINDOW_MINUTES.size()], 1 - objective.goodRatio()),
					burnRates(this.refused, this.answered, this.refused, objective.refusedRatio()));
		}

		private static long sum(List<BurnDocument.Minute> minutes, long windowStart,
				ToLongFunction<BurnDocument.Minute> count) {
			return minutes.stream().filter((minute) -> minute.minute() > windowStart).mapToLong(count).sum();
		}

		private static List<Double> burnRates(long[] bad, long[] responses, long[] refusals, double budget) {
			return Stream.iterate(0, (index) -> index < bad.length, (index) -> index + 1).map((index) -> {
				long total = responses[index] + refusals[index];
				return (total > 0) ? (double) bad[index] / total / budget : 0.0;
			}).toList();
		}

	}

}
