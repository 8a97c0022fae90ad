/**
 * The entry hosts that are heard, and what they last told.
 */
package io.masticlane.membership;
