/**
 * Reports on the whole deployment for operators: error budgets, drain progress and the
 * history of a request.
 */
package io.masticlane.report;
