package org.plantainspur.operator;

import java.io.IOException;
import java.io.Reader;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ServicePolicy;
import org.plantainspur.core.finding.Findings;
import org.plantainspur.core.membership.Member;

/**
 * The commands for capacity floors, the planners' sheet and the state of the hosts.
 */
final class FleetCommands {

	private FleetCommands() {
	}

	static Report setFloor(Namespace arguments, ChangeRunner runner) {
		double floor = arguments.getDouble("fraction");
		Findings findings = new Findings();
		EntityCommands.addFindingUnless(floor >= 0 && floor <= 1, findings, "fraction", floor, "is outside 0 to 1",
				"write a value such as 0.7");
		findings.throwIfAny();
		Configuration base = runner.read();
		String service = arguments.getString("service");
		ServicePolicy policy = new ServicePolicy(service, floor, base.service(service).headroom());
		return EntityCommands.write(new Change.PutService(policy), base, arguments, runner);
	}

	static Report checkSheet(Namespace arguments, ChangeRunner runner) throws IOException {
		Configuration base = runner.read();
		return new Report(Report.DONE).with("differences", readSheet(arguments, base).differences(base));
	}

	static Report applySheet(Namespace arguments, ChangeRunner runner) throws IOException {
		Configuration base = runner.read();
		Sheet sheet = readSheet(arguments, base);
		List<String> differences = sheet.differences(base);
		if (differences.isEmpty()) {
			return new Report(Report.DONE).with("result", "nothing to change");
		}
		return EntityCommands.write(sheet.change(), base, arguments, runner).with("differences", differences);
	}

	static Report status(Namespace arguments, ChangeRunner runner) {
		Configuration configuration = runner.read();
		Map<String, JsonNode> answers = runner.query("/status");
		List<String> hosts = new ArrayList<>();
		for (Member member : configuration.membership().members()) {
			JsonNode status = answers.get(member.hostId());
			hosts.add(member.hostId() + ": " + ((status != null) ? describe(status) : "no answer"));
		}
		return new Report(Report.DONE).with("sequence", configuration.sequence()).with("hosts", hosts);
	}

	static Report explainTarget(Namespace arguments, ChangeRunner runner) {
		return explain("/explain/target/", arguments, runner);
	}

	static Report explainAccount(Namespace arguments, ChangeRunner runner) {
		return explain("/explain/account/", arguments, runner);
	}

	private static Report explain(String path, Namespace arguments, ChangeRunner runner) {
		String name = URLEncoder.encode(arguments.getString("name"), StandardCharsets.UTF_8);
		Map<String, JsonNode> answers = new TreeMap<>(runner.query(path + name));
		Report report = new Report(answers.isEmpty() ? Report.FAILED : Report.DONE);
		answers.forEach(report::with);
		return answers.isEmpty() ? report.with("result", "no host answered") : report;
	}

	private static String describe(JsonNode status) {
		return "sequence " + status.path("sequence").asLong() + ", "
				+ (status.path("current").asBoolean() ? "current" : "not current");
	}

	private static Sheet readSheet(Namespace arguments, Configuration base) throws IOException {
		try (Reader reader = Files.newBufferedReader(Path.of(arguments.getString("file")))) {
			return Sheet.read(reader, base);
		}
	}

}
