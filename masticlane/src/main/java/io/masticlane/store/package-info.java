/**
 * The platform's key-value store behind one interface.
 */
package io.masticlane.store;
