package org.plantainspur.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import net.sourceforge.argparse4j.inf.Namespace;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.finding.Findings;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;

/**
 * The commands that change the membership of the fleet.
 */
final class MemberCommands {

	private MemberCommands() {
	}

	static Report remove(Namespace arguments, ChangeRunner runner) {
		Configuration base = runner.read();
		Findings findings = new Findings();
		EntityCommands.addFindingUnless(arguments.getBoolean("processes_have_ended"), findings,
				"--processes-have-ended", "absent",
				"is missing; a process that still runs could serve with a withdrawn key after its removal",
				"make sure that these processes have ended or are cut off from callers and members, then add it");
		List<Member> members = requestedMembers(arguments, base, findings);
		findings.throwIfAny();
		addFindingsForAnsweringHosts(members, runner, findings);
		findings.throwIfAny();
		return EntityCommands.write(new Change.MembersLost(members), base, arguments, runner);
	}

	private static List<Member> requestedMembers(Namespace arguments, Configuration base, Findings findings) {
		List<Member> members = new ArrayList<>();
		for (String host : new TreeSet<>(arguments.<String>getList("host"))) {
			Member member = currentOrPreviousMember(base.membership(), host);
			if (member != null) {
				members.add(member);
			}
			EntityCommands.addFindingUnless(member != null, findings, "host", host, "is not a member",
					"take it from 'status'");
		}
		return members;
	}

	// A host that is no longer a member may still count towards a majority until the last
	// change of the membership is settled.
	private static @Nullable Member currentOrPreviousMember(Membership membership, String host) {
		Member member = membership.member(host);
		return (member != null) ? member
				: membership.previousMembers()
					.stream()
					.filter((previous) -> previous.hostId().equals(host))
					.findFirst()
					.orElse(null);
	}

	private static void addFindingsForAnsweringHosts(List<Member> members, ChangeRunner runner, Findings findings) {
		runner.query(members, "/status")
			.keySet()
			.stream()
			.sorted()
			.forEach((host) -> findings.add("host", host, "still answers at its admin address",
					"stop its process first"));
	}

}
