/**
 * At-most-once execution of operations that are identified by an idempotency key.
 */
package io.masticlane.operation;
