package io.masticlane.caller;

import java.util.function.BooleanSupplier;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.masticlane.operator.Metrics;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.Steering;

/**
 * The services of the entry daemon that the caller side uses.
 *
 * @param steering the decision core, to be used only in commands for the decisions thread
 * @param decisions offers a command to the decisions thread and returns whether its queue
 * had room
 * @param table the current routing table, or {@code null} before the first configuration
 * @param lookUps responds to look-ups
 * @param leaving whether the connections of callers are to be closed after each response
 * @param stale whether keys may have been revoked without this entry host knowing
 * @param admission whether a request with a deadline, in nanoseconds, ends before a
 * planned stop does
 * @param stopping whether the daemon is stopping
 * @param metrics the metrics of the daemon
 */
public record EntryServices(Steering steering, Predicate<Runnable> decisions, Supplier<RoutingTable> table,
		LookUps lookUps, BooleanSupplier leaving, BooleanSupplier stale, LongPredicate admission,
		BooleanSupplier stopping, Metrics metrics) {
}
