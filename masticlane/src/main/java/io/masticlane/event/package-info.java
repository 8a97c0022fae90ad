/**
 * The numbered events that the daemons log.
 */
package io.masticlane.event;
