/**
 * Fleet-wide limits divided into shares of entry hosts.
 */
package io.masticlane.limit;
