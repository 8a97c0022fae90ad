/**
 * The benchmarks: loads on a deployment of stand-ins, and the costs of single parts.
 */
package io.masticlane.bench;
