package org.plantainspur.operator;

import java.io.IOException;

import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The code of one command.
 */
@FunctionalInterface
interface Command {

	/**
	 * Runs the command.
	 * @param arguments the parsed arguments of the command
	 * @param runner writes changes and queries hosts
	 * @return the fields to print and the exit code
	 * @throws IOException if an input file cannot be read
	 */
	Report run(Namespace arguments, ChangeRunner runner) throws IOException;

}
