/**
 * Interfaces and a client of the platform's key-value store, and the stored
 * configuration.
 */
package io.masticlane.store;
