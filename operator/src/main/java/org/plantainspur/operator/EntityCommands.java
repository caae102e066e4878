package org.plantainspur.operator;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import net.sourceforge.argparse4j.inf.Namespace;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.finding.Findings;
import org.plantainspur.core.request.KeyHash;

/**
 * The commands that list and change client accounts, their keys and routes.
 */
final class EntityCommands {

	private static final int KEY_BYTES = 32;

	private EntityCommands() {
	}

	static Report putAccount(Namespace arguments, ChangeRunner runner) {
		double rate = arguments.getDouble("rate");
		double burst = arguments.getDouble("burst");
		Findings findings = new Findings();
		addFindingUnless(rate > 0 && rate <= 1e6, findings, "--rate", rate, "is not above 0 and at most 1000000",
				"write a value such as 100");
		addFindingUnless(burst >= 1 && burst <= 1e6, findings, "--burst", burst, "is outside 1 to 1000000",
				"write a value such as 20");
		findings.throwIfAny();
		return write(new Change.PutAccount(new ClientAccount(arguments.getString("name"), rate, burst)), runner.read(),
				arguments, runner);
	}

	static Report removeAccount(Namespace arguments, ChangeRunner runner) {
		Configuration base = runner.read();
		String name = existingAccount(base, "name", arguments);
		return write(new Change.RemoveAccount(name), base, arguments, runner);
	}

	static Report listAccounts(Namespace arguments, ChangeRunner runner) {
		return list("accounts",
				runner.read().accounts().stream().sorted(Comparator.comparing(ClientAccount::id)).toList());
	}

	static Report issueKey(Namespace arguments, ChangeRunner runner) {
		Configuration base = runner.read();
		String account = existingAccount(base, "account", arguments);
		byte[] random = new byte[KEY_BYTES];
		new SecureRandom().nextBytes(random);
		String key = Base64.getUrlEncoder().withoutPadding().encodeToString(random);
		Report report = write(new Change.IssueKey(KeyHash.of(key), account), base, arguments, runner);
		// Only the hash is stored, so the key is also shown if it may have been issued.
		boolean mayExist = report.exitCode() == Report.DONE || report.exitCode() == Report.UNKNOWN;
		return mayExist ? report.with("key", key).with("hash", KeyHash.of(key)) : report;
	}

	static Report withdrawKey(Namespace arguments, ChangeRunner runner) {
		Configuration base = runner.read();
		String hash = arguments.getString("hash");
		Findings findings = new Findings();
		addFindingUnless(base.accountOfKey(hash) != null, findings, "hash", hash, "is not the hash of a key in force",
				"take it from 'key list'");
		findings.throwIfAny();
		return write(new Change.WithdrawKey(hash), base, arguments, runner);
	}

	static Report listKeys(Namespace arguments, ChangeRunner runner) {
		Configuration base = runner.read();
		return list("hashes", base.keyHashes(existingAccount(base, "account", arguments)).stream().sorted().toList());
	}

	static Report putRoute(Namespace arguments, ChangeRunner runner) {
		String path = arguments.getString("path");
		long timeout = arguments.getLong("timeout");
		Findings findings = new Findings();
		addFindingUnless(path.startsWith("/"), findings, "--path", path, "does not start with /", "write /" + path);
		addFindingUnless(timeout >= 1 && timeout <= 30_000, findings, "--timeout", timeout, "is outside 1 to 30000",
				"write a value such as 5000");
		findings.throwIfAny();
		Route route = new Route(arguments.getString("name"), arguments.getString("method"), path,
				arguments.getString("service"), arguments.getBoolean("idempotent"), arguments.getBoolean("open"),
				timeout);
		return write(new Change.PutRoute(route), runner.read(), arguments, runner);
	}

	static Report removeRoute(Namespace arguments, ChangeRunner runner) {
		Configuration base = runner.read();
		String name = arguments.getString("name");
		Findings findings = new Findings();
		addFindingUnless(base.routes().stream().anyMatch((route) -> route.id().equals(name)), findings, "name", name,
				"is not a route", "take it from 'route list'");
		findings.throwIfAny();
		return write(new Change.RemoveRoute(name), base, arguments, runner);
	}

	static Report listRoutes(Namespace arguments, ChangeRunner runner) {
		return list("routes", runner.read().routes().stream().sorted(Comparator.comparing(Route::id)).toList());
	}

	static Report write(Change change, Configuration base, Namespace arguments, ChangeRunner runner) {
		return runner.run(change, base, arguments.getLong("wait"));
	}

	static void addFindingUnless(boolean valid, Findings findings, String place, Object value, String problem,
			String suggestion) {
		if (!valid) {
			findings.add(place, String.valueOf(value), problem, suggestion);
		}
	}

	private static String existingAccount(Configuration base, String place, Namespace arguments) {
		String name = arguments.getString(place);
		Findings findings = new Findings();
		addFindingUnless(base.account(name) != null, findings, place, name, "is not a client account",
				"take it from 'account list'");
		findings.throwIfAny();
		return name;
	}

	private static Report list(String name, Collection<?> items) {
		return new Report(Report.DONE).with(name, List.copyOf(items));
	}

}
