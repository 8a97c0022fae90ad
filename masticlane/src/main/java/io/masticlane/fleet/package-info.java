/**
 * The running gateways, as known from the store and from their reports.
 */
package io.masticlane.fleet;
