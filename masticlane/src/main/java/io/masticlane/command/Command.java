package io.masticlane.command;

import java.io.PrintStream;
import java.util.List;

/**
 * A subcommand of the executable.
 */
public interface Command {

	/**
	 * Returns the name on the command line.
	 * @return the name on the command line
	 */
	String name();

	/**
	 * Returns one line on what the command does.
	 * @return one line on what the command does
	 */
	String summary();

	/**
	 * Runs the command.
	 * @param arguments the arguments behind the name
	 * @param output the stream for results
	 * @return the exit status
	 * @throws Exception if the command fails; its message is printed as one line
	 */
	ExitStatus run(List<String> arguments, PrintStream output) throws Exception;

}
