/**
 * Generates the committed sources of messages and settings from their schema.
 */
package io.masticlane.schema;
