package org.plantainspur.standins.program;

import java.util.function.Supplier;

import org.plantainspur.adapters.settings.SettingsReader;
import org.plantainspur.core.finding.Findings;

/**
 * Reads the settings of the stand-ins' main classes and runs them.
 */
public final class Programs {

	private static final int EXIT_INVALID_INPUT = 2;

	private Programs() {
	}

	/**
	 * Reads the settings and runs the program. Exits with status 0 after showing the help
	 * text, and with status 2 if the settings or the input are invalid.
	 * @param name the name of the program in its help text
	 * @param args the flags of the command line
	 * @param constructor creates the settings object, whose fields are then set
	 * @param program runs with the settings
	 * @param <T> the class of the settings
	 * @throws Exception if the program fails
	 */
	public static <T> void run(String name, String[] args, Supplier<T> constructor, Program<T> program)
			throws Exception {
		try {
			program.run(SettingsReader.of(name, constructor).read(args, System.getenv()));
		}
		catch (SettingsReader.HelpShownException ex) {
			System.exit(0);
		}
		catch (Findings.InvalidInputException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_INVALID_INPUT);
		}
	}

	/**
	 * The body of a main method, run after its settings have been read.
	 *
	 * @param <T> the class of its settings
	 */
	@FunctionalInterface
	public interface Program<T> {

		/**
		 * Runs the program.
		 * @param settings the settings from the flags and the environment
		 * @throws Exception if the program fails
		 */
		void run(T settings) throws Exception;

	}

}
