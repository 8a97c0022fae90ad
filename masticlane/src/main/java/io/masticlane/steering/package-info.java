/**
 * The decision core, without input, output or clock.
 */
package io.masticlane.steering;
