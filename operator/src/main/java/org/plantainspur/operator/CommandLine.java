package org.plantainspur.operator;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.Map;
import java.util.function.Function;

import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.finding.Finding;
import org.plantainspur.core.finding.Findings;

/**
 * Parses a command, runs it and prints its report.
 */
final class CommandLine {

	private final Map<String, String> environment;

	private final Function<String, ChangeRunner> runnerFactory;

	private final PrintStream out;

	CommandLine(Map<String, String> environment, Function<String, ChangeRunner> runnerFactory, PrintStream out) {
		this.environment = environment;
		this.runnerFactory = runnerFactory;
		this.out = out;
	}

	int run(String... args) {
		ArgumentParser parser = new CommandParser(this.environment).create();
		try {
			Namespace arguments = parser.parseArgs(args);
			Report report = run(arguments);
			this.out.print(arguments.getString("output").equals("json") ? report.json() + "\n" : report.text());
			return report.exitCode();
		}
		catch (HelpScreenException ex) {
			return Report.DONE;
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex, new PrintWriter(this.out, true));
			return Report.BAD_INPUT;
		}
	}

	private Report run(Namespace arguments) {
		Command command = arguments.get(CommandParser.COMMAND_ATTRIBUTE);
		try {
			return command.run(arguments, this.runnerFactory.apply(arguments.getString("platform_url")));
		}
		catch (Findings.InvalidInputException ex) {
			return new Report(Report.BAD_INPUT).with("findings",
					ex.findings().stream().map(Finding::toString).toList());
		}
		catch (IOException ex) {
			return new Report(Report.BAD_INPUT).with("result", "cannot read the file: " + ex.getMessage());
		}
		catch (ChangeLog.UnavailableException ex) {
			return new Report(Report.FAILED).with("result", "nothing was done: " + ex.getMessage());
		}
	}

}
