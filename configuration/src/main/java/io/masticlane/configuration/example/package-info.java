/**
 * Example configurations with the sizes of current deployments.
 */
package io.masticlane.configuration.example;
