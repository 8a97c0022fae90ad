/**
 * The entry daemon, which joins all duties.
 */
package io.masticlane.entry;
