package org.plantainspur.host;

import org.plantainspur.adapters.settings.SettingsReader;
import org.plantainspur.core.finding.Findings;

/**
 * Starts an entry host.
 */
public final class EntryHostMain {

	private static final int EXIT_BAD_INPUT = 2;

	private EntryHostMain() {
	}

	/**
	 * Starts the daemon and returns; the server threads keep the process alive.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if the server cannot start
	 */
	public static void main(String[] args) throws Exception {
		try {
			HostSettings settings = SettingsReader.of("plantainspur-host", HostSettings::new)
				.read(args, System.getenv());
			// log4j2.xml reads this property when the first logger is created.
			System.setProperty("plantainspur.log.level", settings.logLevel());
			new EntryHostApplication(settings).run("server");
		}
		catch (SettingsReader.HelpShownException ex) {
			System.exit(0);
		}
		catch (Findings.InvalidInputException ex) {
			System.err.println(ex.getMessage());
			System.exit(EXIT_BAD_INPUT);
		}
	}

}
