/**
 * The rate limits of organisations, divided among gateways by demand.
 */
package io.masticlane.quota;
