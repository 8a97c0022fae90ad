/**
 * The closed list of error kinds and the answers to them.
 */
package io.masticlane.failure;
