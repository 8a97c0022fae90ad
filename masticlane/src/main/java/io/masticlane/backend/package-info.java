/**
 * Connections to backend servers and load balancing between them.
 */
package io.masticlane.backend;
