/**
 * The routing table that a configuration gives.
 */
package io.masticlane.route;
