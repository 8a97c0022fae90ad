/**
 * Example configurations at the sizes of today's deployments.
 */
package io.masticlane.configuration.example;
