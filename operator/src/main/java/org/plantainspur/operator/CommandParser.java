package org.plantainspur.operator;

import java.util.Map;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Declares the commands and their arguments.
 */
final class CommandParser {

	static final String ACTION = "action";

	private static final String PLATFORM_VARIABLE = "PLANTAINSPUR_PLATFORM_URL";

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
		accounts(group(commands, "account", "client accounts"));
		keys(group(commands, "key", "keys of client accounts"));
		routes(group(commands, "route", "routes"));
		Subparser floor = leaf(group(commands, "floor", "capacity floors"), "set", FleetActions::setFloor);
		floor.addArgument("service").help("service");
		floor.addArgument("fraction").type(Double.class).help("fraction of the slots, 0 to 1, that ejection leaves");
		Subparsers sheet = group(commands, "sheet", "the planners' sheet");
		leaf(sheet, "check", FleetActions::checkSheet).addArgument("file").help("CSV file");
		leaf(sheet, "apply", FleetActions::applySheet).addArgument("file").help("CSV file");
		members(group(commands, "member", "members of the fleet"));
		leaf(commands, "status", FleetActions::status);
		Subparsers explain = group(commands, "explain", "why a target or an account is treated as it is");
		leaf(explain, "target", FleetActions::explainTarget).addArgument("name").help("target");
		leaf(explain, "account", FleetActions::explainAccount).addArgument("name").help("client account");
		return parser;
	}

	private void accounts(Subparsers group) {
		Subparser put = leaf(group, "put", EntityActions::putAccount);
		put.addArgument("name").help("client account");
		put.addArgument("--rate").type(Double.class).required(true).help("requests per second across all hosts");
		put.addArgument("--burst").type(Double.class).required(true).help("requests at once after a pause");
		leaf(group, "remove", EntityActions::removeAccount).addArgument("name").help("client account");
		leaf(group, "list", EntityActions::listAccounts);
	}

	private void keys(Subparsers group) {
		leaf(group, "issue", EntityActions::issueKey).addArgument("account").help("client account");
		leaf(group, "withdraw", EntityActions::withdrawKey).addArgument("hash").help("hash, as in 'key list'");
		leaf(group, "list", EntityActions::listKeys).addArgument("account").help("client account");
	}

	private void routes(Subparsers group) {
		Subparser put = leaf(group, "put", EntityActions::putRoute);
		put.addArgument("name").help("route");
		put.addArgument("--method").setDefault("*").help("HTTP method, or * for every method");
		put.addArgument("--path").required(true).help("prefix of the path, such as /booking");
		put.addArgument("--service").required(true).help("service that runs the requests");
		put.addArgument("--idempotent").action(Arguments.storeTrue()).help("a request may run more than once");
		put.addArgument("--open").action(Arguments.storeTrue()).help("the route needs no key");
		put.addArgument("--timeout").type(Long.class).setDefault(5000L).help("longest time for a request in ms");
		leaf(group, "remove", EntityActions::removeRoute).addArgument("name").help("route");
		leaf(group, "list", EntityActions::listRoutes);
	}

	private void members(Subparsers group) {
		Subparser remove = leaf(group, "remove", MemberActions::remove);
		remove.description("Removes hosts whose processes have certainly ended. Never remove a host that may still run:"
				+ " it could serve with a withdrawn key.");
		remove.addArgument("host").nargs("+").help("host");
		remove.addArgument("--processes-have-ended")
			.action(Arguments.storeTrue())
			.help("confirms that none of these processes runs or will run again");
	}

	private Subparsers group(Subparsers parent, String name, String help) {
		return parent.addParser(name, true).help(help).addSubparsers().metavar("COMMAND");
	}

	private Subparser leaf(Subparsers parent, String name, Action action) {
		Subparser leaf = parent.addParser(name, true).defaultHelp(true).setDefault(ACTION, action);
		String platform = this.environment.get(PLATFORM_VARIABLE);
		leaf.addArgument("--platform-url")
			.setDefault(platform)
			.required(platform == null)
			.help("address of the platform, or " + PLATFORM_VARIABLE);
		leaf.addArgument("--output").choices("text", "json").setDefault("text").help("form of the output");
		leaf.addArgument("--wait").type(Long.class).setDefault(10_000L).help("longest wait for acceptance in ms");
		return leaf;
	}

}
