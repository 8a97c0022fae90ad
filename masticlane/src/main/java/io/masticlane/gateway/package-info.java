/**
 * The daemon that carries callers' requests to registered backend servers.
 */
package io.masticlane.gateway;
