package org.plantainspur.standins.program;

import java.util.function.Supplier;

import org.plantainspur.adapters.settings.SettingsReader;
import org.plantainspur.core.finding.Findings;

/**
 * Runs the stand-ins' main classes.
 */
public final class Programs {

	private static final int EXIT_BAD_INPUT = 2;

	private Programs() {
	}

	/**
	 * Reads the settings and runs the program; exits with 2 after bad input.
	 * @param name the program's name
	 * @param args the command line
	 * @param constructor gives the settings to fill
	 * @param body the program
	 * @param <T> the class of the settings
	 * @throws Exception if the program fails
	 */
	public static <T> void run(String name, String[] args, Supplier<T> constructor, Body<T> body) throws Exception {
		try {
			body.run(SettingsReader.of(name, constructor).read(args, System.getenv()));
		}
		catch (SettingsReader.HelpShownException ex) {
			System.exit(0);
		}
		catch (Findings.InvalidInputException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_BAD_INPUT);
		}
	}

	/**
	 * A program.
	 *
	 * @param <T> the class of its settings
	 */
	@FunctionalInterface
	public interface Body<T> {

		/**
		 * Runs the program.
		 * @param settings the settings
		 * @throws Exception if the program fails
		 */
		void run(T settings) throws Exception;

	}

}
