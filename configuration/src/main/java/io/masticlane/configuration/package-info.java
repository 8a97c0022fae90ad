/**
 * The immutable configuration model of a deployment and its JSON document.
 */
package io.masticlane.configuration;
