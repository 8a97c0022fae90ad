/**
 * The operator interface of the entry daemon: health, status, error budgets and metrics.
 */
package io.masticlane.operator;
