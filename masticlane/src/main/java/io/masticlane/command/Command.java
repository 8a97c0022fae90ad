package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;

/**
 * A subcommand of the executable.
 */
public interface Command {

	/**
	 * Returns the name by which the command is called on the command line.
	 * @return the name of the command
	 */
	String name();

	/**
	 * Returns a one-line description for the help.
	 * @return the one-line description
	 */
	String summary();

	/**
	 * Runs the command.
	 * @param arguments the arguments that follow the name
	 * @param output the stream for results
	 * @return the exit status
	 * @throws Exception if the command fails; its message is printed as one line
	 */
	ExitStatus run(List<String> arguments, PrintStream output) throws Exception;

}
