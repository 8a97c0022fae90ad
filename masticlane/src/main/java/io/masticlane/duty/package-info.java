/**
 * Threads that each have one duty, fed by bounded rings.
 */
package io.masticlane.duty;
