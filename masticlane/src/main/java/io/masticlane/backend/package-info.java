/**
 * Connections to backend servers and the choice between them.
 */
package io.masticlane.backend;
