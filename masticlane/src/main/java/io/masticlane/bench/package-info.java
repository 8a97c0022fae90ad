/**
 * Benchmarks: load tests of an entry host with stand-ins for the outside systems, and the
 * cost of individual components by size.
 */
package io.masticlane.bench;
