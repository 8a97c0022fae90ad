/**
 * The settings of each program, read from flags and environment variables.
 */
package io.masticlane.setting;
