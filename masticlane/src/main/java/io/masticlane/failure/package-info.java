/**
 * The complete set of error kinds and the refusals that carry them.
 */
package io.masticlane.failure;
