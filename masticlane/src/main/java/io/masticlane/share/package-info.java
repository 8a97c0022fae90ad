/**
 * The right of a process to use the shares of entry hosts, kept by leases in the store.
 */
package io.masticlane.share;
