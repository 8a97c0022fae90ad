/**
 * The numbered events that programs log.
 */
package io.masticlane.event;
