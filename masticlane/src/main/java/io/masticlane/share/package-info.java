/**
 * Leases in the store that entitle a process to use the shares of entry hosts.
 */
package io.masticlane.share;
