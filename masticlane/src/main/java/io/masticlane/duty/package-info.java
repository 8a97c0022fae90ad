/**
 * Threads that each execute the commands of one bounded ring.
 */
package io.masticlane.duty;
