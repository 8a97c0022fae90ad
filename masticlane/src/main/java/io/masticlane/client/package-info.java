/**
 * Pooled HTTP connections to backend servers and to the store.
 */
package io.masticlane.client;
