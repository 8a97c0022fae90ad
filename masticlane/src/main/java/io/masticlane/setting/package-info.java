/**
 * The settings of the daemons, read from flags, environment variables and settings files.
 */
package io.masticlane.setting;
