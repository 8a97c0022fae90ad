package io.masticlane.admission;

import java.util.Comparator;

/**
 * A request that asks to be sent to a server for the first time.
 *
 * @param kind the kind of the request
 * @param organisation the organisation of its caller, or an empty string
 * @param routePriority the priority of the route, whatever that of the organisation
 * @param workMillis the expected processing time at the chosen server in milliseconds
 * @param objectiveMillis the response time objective of the route in milliseconds
 * @param slotFree whether the chosen server has a free slot
 * @param serverUtilization the requests that the chosen server is processing or has
 * queued, for each of its slots
 */
public record Arrival(Kind kind, String organisation, int routePriority, double workMillis, double objectiveMillis,
		boolean slotFree, double serverUtilization) {

	/**
	 * The requests that cost callers the same if they are rejected.
	 *
	 * @param priority the priority, zero being the highest
	 * @param late whether the response is expected after the objective
	 * @param route the name of the route
	 */
	public record Kind(int priority, boolean late, String route) {

		/**
		 * The lowest priority that is distinguished, which bounds the number of kinds
		 * whatever priorities a plan gives to organisations.
		 */
		private static final int LOWEST_PRIORITY = 9;

		static final Comparator<Kind> BY_URGENCY = Comparator.comparingInt(Kind::priority).thenComparing(Kind::late);

		public Kind {
			priority = Math.max(0, Math.min(LOWEST_PRIORITY, priority));
		}

	}

}
