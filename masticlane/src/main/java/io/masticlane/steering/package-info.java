/**
 * The decision core, which does no I/O and reads no clock.
 */
package io.masticlane.steering;
