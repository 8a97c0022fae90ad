/**
 * Operations that run at most once.
 */
package io.masticlane.operation;
