/**
 * Fleet-wide rate limits, divided into shares that entry hosts hold and lend to each
 * other.
 */
package io.masticlane.limit;
