/**
 * What a gateway believes of the registered backend servers.
 */
package io.masticlane.registry;
