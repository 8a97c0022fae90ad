/**
 * Connections between entry hosts.
 */
package io.masticlane.peer;
