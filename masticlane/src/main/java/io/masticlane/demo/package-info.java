/**
 * Small stand-ins of the outside systems, and the demo that runs on them.
 */
package io.masticlane.demo;
