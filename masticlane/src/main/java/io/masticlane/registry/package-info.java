/**
 * A gateway's view of the registered backend servers.
 */
package io.masticlane.registry;
