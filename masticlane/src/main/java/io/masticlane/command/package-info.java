/**
 * The subcommands of the command line.
 */
package io.masticlane.command;
