/**
 * The messages between entry hosts and their framing.
 */
package io.masticlane.message;
