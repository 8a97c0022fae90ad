/**
 * What operators read of the whole deployment: service-level burn and status.
 */
package io.masticlane.report;
