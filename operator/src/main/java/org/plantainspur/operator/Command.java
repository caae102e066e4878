package org.plantainspur.operator;

import java.io.IOException;

import net.sourceforge.argparse4j.inf.Namespace;

/**
 * One command.
 */
@FunctionalInterface
interface Action {

	/**
	 * Runs the command.
	 * @param arguments the parsed arguments
	 * @param runner writes changes and asks hosts
	 * @return what to print
	 * @throws IOException if an input file cannot be read
	 */
	Report run(Namespace arguments, ChangeRunner runner) throws IOException;

}
