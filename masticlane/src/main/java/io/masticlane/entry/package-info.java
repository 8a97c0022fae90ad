/**
 * The entry daemon, which connects all components of an entry host.
 */
package io.masticlane.entry;
