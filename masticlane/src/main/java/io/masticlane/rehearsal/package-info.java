/**
 * Runs of gateways without a platform, for the class archive of the build.
 */
package io.masticlane.rehearsal;
