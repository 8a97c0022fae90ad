/**
 * The caller side: look-ups and requests over HTTP.
 */
package io.masticlane.caller;
