/**
 * The memory for the bodies of messages that one event loop reads or has yet to write.
 */
package io.masticlane.memory;
