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
 * The burn of error budgets over short and long windows, by service, organisation and
 * region. A burn of 1 uses up exactly the budget; a budget burns too fast if both windows
 * of a pair are above its limit.
 *
 * @param rows the rows, ordered by service, scope and name
 */
public record BurnReport(List<Row> rows) {

	/**
	 * The windows in minutes: two short ones and the long ones that belong to them.
	 */
	public static final List<Integer> WINDOWS = List.of(5, 60, 30, 360);

	private static final double FAST_LIMIT = 14.4;

	private static final double SLOW_LIMIT = 6;

	/**
	 * Creates a new report.
	 * @param documents the documents of the entry hosts
	 * @param minute the present in minutes since 1970
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
	 * Tells whether a budget burns too fast.
	 * @return whether a budget burns too fast
	 */
	public boolean tooFast() {
		return this.rows.stream().anyMatch(Row::tooFast);
	}

	/**
	 * Returns the organisation of a service whose budget burns fastest over the longest
	 * window.
	 * @param service the name of the service
	 * @return the row of the organisation, or nothing if the service had no requests
	 */
	public Stream<Row> worstServed(String service) {
		return this.rows.stream()
			.filter((row) -> row.scope().service().equals(service) && row.scope().kind().equals(Scope.ORGANISATION))
			.max(Comparator.comparingDouble(Row::worst))
			.stream();
	}

	private static List<Scope> scopes(BurnDocument document, BurnDocument.Series series) {
		return List.of(new Scope(series.service(), Scope.ALL, "all"),
				new Scope(series.service(), Scope.ORGANISATION, series.organisation()),
				new Scope(series.service(), Scope.REGION, document.region()));
	}

	/**
	 * What a row speaks of.
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
	 * The burn of one scope.
	 *
	 * @param scope the scope
	 * @param requests the requests of the longest window
	 * @param slowBurn the burn of the budget for slow answers, for each window
	 * @param refusedBurn the burn of the budget for refusals, for each window
	 */
	public record Row(Scope scope, long requests, List<Double> slowBurn, List<Double> refusedBurn) {

		/**
		 * Tells whether one of the budgets burns too fast.
		 * @return whether one of the budgets burns too fast
		 */
		public boolean tooFast() {
			return tooFast(this.slowBurn) || tooFast(this.refusedBurn);
		}

		/**
		 * Returns the part of the budget left over the longest window, of the budget of
		 * which less is left.
		 * @return the part left, below zero if more was used
		 */
		public double left() {
			return 1 - worst();
		}

		double worst() {
			int last = WINDOWS.size() - 1;
			return Math.max(this.slowBurn.get(last), this.refusedBurn.get(last));
		}

		private static boolean tooFast(List<Double> burn) {
			return (burn.get(0) > FAST_LIMIT && burn.get(1) > FAST_LIMIT)
					|| (burn.get(2) > SLOW_LIMIT && burn.get(3) > SLOW_LIMIT);
		}

	}

	/**
	 * The sums of one scope, for each window.
	 */
	private static final class Totals {

		private final long[] answered = new long[WINDOWS.size()];

		private final long[] slow = new long[WINDOWS.size()];

		private final long[] refused = new long[WINDOWS.size()];

		void add(List<BurnDocument.Minute> minutes, long present) {
			for (int index = 0; index < WINDOWS.size(); index++) {
				long oldest = present - WINDOWS.get(index);
				this.answered[index] += sum(minutes, oldest, BurnDocument.Minute::answered);
				this.slow[index] += sum(minutes, oldest, BurnDocument.Minute::slow);
				this.refused[index] += sum(minutes, oldest, BurnDocument.Minute::refused);
			}
		}

		Row row(Scope scope, Objective objective) {
			int last = WINDOWS.size() - 1;
			return new Row(scope, this.answered[last] + this.refused[last],
					burn(this.slow, this.answered, new long[WINDOWS.size()], 1 - objective.goodRatio()),
					burn(this.refused, this.answered, this.refused, objective.refusedRatio()));
		}

		private static long sum(List<BurnDocument.Minute> minutes, long oldest,
				ToLongFunction<BurnDocument.Minute> count) {
			return minutes.stream().filter((minute) -> minute.minute() > oldest).mapToLong(count).sum();
		}

		private static List<Double> burn(long[] bad, long[] part, long[] rest, double budget) {
			return Stream.iterate(0, (index) -> index < bad.length, (index) -> index + 1).map((index) -> {
				long all = part[index] + rest[index];
				return (all > 0) ? (double) bad[index] / all / budget : 0.0;
			}).toList();
		}

	}

}
