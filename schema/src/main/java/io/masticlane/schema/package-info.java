/**
 * Generates the committed sources and documentation of messages and settings from their
 * schemas.
 */
package io.masticlane.schema;
