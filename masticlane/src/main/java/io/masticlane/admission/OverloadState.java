package io.masticlane.admission;

/**
 * The load of a service in a region as one gateway sees it.
 *
 * @param overloaded whether more work is demanded than the servers can take
 * @param roomRequests the requests that the servers can hold at a time, those that wait
 * for a short time included
 * @param demandRequests the requests that the servers would hold if all were admitted, or
 * zero if no load was reported recently
 * @param level the level, from 0 to 1
 * @param admittedFraction the fraction of the demanded work that was admitted recently,
 * from 0 to 1
 */
public record OverloadState(boolean overloaded, double roomRequests, double demandRequests, double level,
		double admittedFraction) {
}
