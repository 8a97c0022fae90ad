/**
 * The command line.
 */
package io.masticlane.command;
