/**
 * The rates of organisations, divided among gateways by demand.
 */
package io.masticlane.quota;
