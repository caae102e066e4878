package org.plantainspur.operator;

import java.util.Map;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Declares the commands with their arguments. Each command carries its code as an
 * attribute of the parsed arguments.
 */
final class CommandParser {

	/** The attribute of the parsed arguments that holds the {@link Command}. */
	static final String COMMAND_ATTRIBUTE = "action";

	private static final String PLATFORM_URL_VARIABLE = "PLANTAINSPUR_PLATFORM_URL";

	private final Map<String, String> environment;

	CommandParser(Map<String, String> environment) {
		this.environment = environment;
	}

	ArgumentParser create() {
		ArgumentParser parser = ArgumentParsers.newFor("plantainspur")
			.build()
			.defaultHelp(true)
			.description("Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 unknown result.");
		Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
		addAccountCommands(addGroup(commands, "account", "client accounts"));
		addKeyCommands(addGroup(commands, "key", "keys of client accounts"));
		addRouteCommands(addGroup(commands, "route", "routes"));
		Subparser floor = addCommand(addGroup(commands, "floor", "capacity floors"), "set", FleetCommands::setFloor);
		floor.addArgument("service").help("service");
		floor.addArgument("fraction")
			.type(Double.class)
			.help("minimum fraction of the slots, 0 to 1, that ejection leaves in use");
		Subparsers sheet = addGroup(commands, "sheet", "the planners' sheet");
		addCommand(sheet, "check", FleetCommands::checkSheet).addArgument("file").help("CSV file");
		addCommand(sheet, "apply", FleetCommands::applySheet).addArgument("file").help("CSV file");
		addMemberCommands(addGroup(commands, "member", "members of the fleet"));
		addCommand(commands, "status", FleetCommands::status);
		Subparsers explain = addGroup(commands, "explain", "why a target or an account is treated as it is");
		addCommand(explain, "target", FleetCommands::explainTarget).addArgument("name").help("target");
		addCommand(explain, "account", FleetCommands::explainAccount).addArgument("name").help("client account");
		return parser;
	}

	private void addAccountCommands(Subparsers group) {
		Subparser put = addCommand(group, "put", EntityCommands::putAccount);
		put.addArgument("name").help("client account");
		put.addArgument("--rate").type(Double.class).required(true).help("requests per second across all hosts");
		put.addArgument("--burst")
			.type(Double.class)
			.required(true)
			.help("size of the token bucket: requests allowed at once after an idle period");
		addCommand(group, "remove", EntityCommands::removeAccount).addArgument("name").help("client account");
		addCommand(group, "list", EntityCommands::listAccounts);
	}

	private void addKeyCommands(Subparsers group) {
		addCommand(group, "issue", EntityCommands::issueKey).addArgument("account").help("client account");
		addCommand(group, "withdraw", EntityCommands::withdrawKey).addArgument("hash").help("hash, as in 'key list'");
		addCommand(group, "list", EntityCommands::listKeys).addArgument("account").help("client account");
	}

	private void addRouteCommands(Subparsers group) {
		Subparser put = addCommand(group, "put", EntityCommands::putRoute);
		put.addArgument("name").help("route");
		put.addArgument("--method").setDefault("*").help("HTTP method, or * for every method");
		put.addArgument("--path").required(true).help("prefix of the path, such as /booking");
		put.addArgument("--service").required(true).help("service that runs the requests");
		put.addArgument("--idempotent").action(Arguments.storeTrue()).help("a request may run more than once");
		put.addArgument("--open").action(Arguments.storeTrue()).help("the route needs no key");
		put.addArgument("--timeout").type(Long.class).setDefault(5000L).help("maximum time for a request, in ms");
		addCommand(group, "remove", EntityCommands::removeRoute).addArgument("name").help("route");
		addCommand(group, "list", EntityCommands::listRoutes);
	}

	private void addMemberCommands(Subparsers group) {
		Subparser remove = addCommand(group, "remove", MemberCommands::remove);
		remove.description("Removes hosts whose processes have certainly ended. Never remove a host that may still run:"
				+ " it could serve with a withdrawn key.");
		remove.addArgument("host").nargs("+").help("host");
		remove.addArgument("--processes-have-ended")
			.action(Arguments.storeTrue())
			.help("confirms that none of these processes runs or will run again");
	}

	private Subparsers addGroup(Subparsers parent, String name, String help) {
		return parent.addParser(name, true).help(help).addSubparsers().metavar("COMMAND");
	}

	private Subparser addCommand(Subparsers parent, String name, Command command) {
		Subparser subparser = parent.addParser(name, true).defaultHelp(true).setDefault(COMMAND_ATTRIBUTE, command);
		String platformUrl = this.environment.get(PLATFORM_URL_VARIABLE);
		subparser.addArgument("--platform-url")
			.setDefault(platformUrl)
			.required(platformUrl == null)
			.help("address of the platform; may be set in the variable " + PLATFORM_URL_VARIABLE);
		subparser.addArgument("--output").choices("text", "json").setDefault("text").help("format of the output");
		subparser.addArgument("--wait")
			.type(Long.class)
			.setDefault(10_000L)
			.help("maximum time to wait for acceptance, in ms");
		return subparser;
	}

}
