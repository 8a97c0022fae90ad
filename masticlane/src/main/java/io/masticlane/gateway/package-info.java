/**
 * The daemon that forwards callers' requests to registered backend servers.
 */
package io.masticlane.gateway;
