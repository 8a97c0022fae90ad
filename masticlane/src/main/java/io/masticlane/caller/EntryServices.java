package io.masticlane.caller;

import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.masticlane.operator.Metrics;
import io.masticlane.route.RoutingTable;
import io.masticlane.steering.Steering;

/**
 * What the callers' side uses of the entry daemon.
 *
 * @param steering the decision core, for use in commands alone
 * @param decisions offers a command to the decisions' thread and tells whether it had
 * room
 * @param table the routing table in force, or {@code null} before the first configuration
 * @param lookUps the answers to look-ups
 * @param leaving whether callers are to close their connections after each answer
 * @param stale whether it cannot be known that no key was withdrawn
 * @param stopping whether the daemon is stopping
 * @param metrics the metrics of the daemon
 */
public record EntryServices(Steering steering, Predicate<Runnable> decisions, Supplier<RoutingTable> table,
		LookUps lookUps, BooleanSupplier leaving, BooleanSupplier stale, BooleanSupplier stopping, Metrics metrics) {
}
