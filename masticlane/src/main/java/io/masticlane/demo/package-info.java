/**
 * In-process stand-ins for the store and the backend servers, and the demo that uses
 * them.
 */
package io.masticlane.demo;
