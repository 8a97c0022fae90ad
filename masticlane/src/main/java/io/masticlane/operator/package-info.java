/**
 * The operators' side of the entry daemon: health, status and metrics.
 */
package io.masticlane.operator;
