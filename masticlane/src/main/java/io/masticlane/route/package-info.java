/**
 * The routing table that is derived from a configuration.
 */
package io.masticlane.route;
