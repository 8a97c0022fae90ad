/**
 * Which gateways live, by the store and by their own reports.
 */
package io.masticlane.fleet;
