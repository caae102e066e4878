package org.plantainspur.adapters.peer;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.arbitraries.ListArbitrary;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.ConfigurationPart;
import org.plantainspur.core.configuration.ConfigurationState;
import org.plantainspur.core.configuration.ServicePolicy;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.routing.Target;

/**
 * Generators of random messages, for property tests.
 */
final class PeerMessageArbitraries {

	private static final Arbitrary<String> TEXT = Arbitraries.strings().ofMaxLength(40);

	private static final ListArbitrary<String> TEXTS = TEXT.list().ofMaxSize(4);

	private static final Arbitrary<Long> LONG = Arbitraries.longs();

	private static final Arbitrary<Integer> INT = Arbitraries.integers();

	private static final Arbitrary<Double> DOUBLE = Arbitraries.doubles();

	private static final Arbitrary<Boolean> BOOLEAN = Arbitraries.of(true, false);

	private static final Arbitrary<byte[]> BODY = Arbitraries.bytes().array(byte[].class).ofMaxSize(300);

	private PeerMessageArbitraries() {
	}

	static Arbitrary<PeerMessage> any() {
		return Arbitraries.oneOf(List.of(heartbeats(), configurations(), borrows(), LONG.map(PeerMessage.Nudge::new),
				LONG.map(PeerMessage.Lent::new), reports(), verdicts(), relays(),
				Arbitraries.oneOf(answered(), refused()).map(PeerMessage.Relayed::new),
				Combinators.combine(TEXT, TEXT).as(PeerMessage.Suspect::new),
				Arbitraries.of(new PeerMessage.Acknowledged(), new PeerMessage.TargetListRequest()), targetLists(),
				TEXT.map(PeerMessage.Unsupported::new), TEXT.map(PeerMessage.ReportRequest::new)));
	}

	private static Arbitrary<PeerMessage> targetLists() {
		Arbitrary<Target> target = Combinators.combine(TEXT, TEXT, TEXT, TEXT, TEXT, INT, INT, BOOLEAN).as(Target::new);
		return target.list().ofMaxSize(3).map(PeerMessage.TargetList::new);
	}

	private static Arbitrary<PeerMessage> heartbeats() {
		return Combinators.combine(TEXT, TEXT, LONG, LONG, BOOLEAN, TEXTS).as(PeerMessage.Heartbeat::new);
	}

	private static Arbitrary<PeerMessage> configurations() {
		Arbitrary<Member> member = Combinators.combine(TEXT, TEXT, TEXT, TEXT, TEXT, TEXT, TEXT, BOOLEAN)
			.as(Member::new);
		Arbitrary<ClientAccount> account = Combinators.combine(TEXT, DOUBLE, DOUBLE).as(ClientAccount::new);
		Arbitrary<Change> change = Arbitraries.oneOf(account.map(Change.PutAccount::new),
				member.map(Change.MemberJoined::new), member.list().ofMaxSize(3).map(Change.MembersRemoved::new),
				member.list().ofMaxSize(3).map(Change.MembersLost::new), member.map(Change.JoinRequested::new),
				member.list().ofMaxSize(3).map(Change.MembersAdmitted::new),
				Combinators.combine(TEXT, TEXT).as(Change.IssueKey::new), LONG.map(Change.SeatsSettled::new));
		Arbitrary<ChangeEntry> entry = Combinators.combine(LONG, TEXT, change).as(ChangeEntry::new);
		Arbitrary<PeerMessage> state = Combinators
			.combine(LONG, account.list().ofMaxSize(3), member.list().ofMaxSize(3), TEXT)
			.as((sequence, accounts, members,
					key) -> new PeerMessage.PartOfConfiguration(new ConfigurationPart(1, 3, new ConfigurationState(
							sequence, accounts, Map.of(key, key), List.of(), List.of(ServicePolicy.defaults(key)),
							new Membership.State(sequence, members, 1, 2, members, members), Map.of(key, sequence)))));
		return Arbitraries.oneOf(LONG.map(PeerMessage.ConfigurationRequest::new), state,
				Combinators.combine(LONG, INT).as(PeerMessage.ConfigurationPartRequest::new),
				entry.list().ofMaxSize(3).map(PeerMessage.ConfigurationChanges::new));
	}

	private static Arbitrary<PeerMessage> borrows() {
		return Combinators.combine(TEXT, TEXT, LONG).as(PeerMessage.Borrow::new);
	}

	private static Arbitrary<PeerMessage> reports() {
		Arbitrary<PeerMessage.AccountEvidence> account = Combinators.combine(TEXT, INT, INT, INT, INT, INT, INT)
			.as(PeerMessage.AccountEvidence::new);
		Arbitrary<PeerMessage.TargetEvidence> target = Combinators
			.combine(TEXT, account.list().ofMaxSize(3), INT.list().ofMaxSize(16), INT, BOOLEAN)
			.as(PeerMessage.TargetEvidence::new);
		Arbitrary<PeerMessage.HeldEjection> held = Combinators.combine(TEXT, INT).as(PeerMessage.HeldEjection::new);
		return Combinators.combine(TEXT, TEXT, LONG, TEXT, target.list().ofMaxSize(3), held.list().ofMaxSize(3))
			.as(PeerMessage.Report::new);
	}

	private static Arbitrary<PeerMessage> verdicts() {
		Arbitrary<PeerMessage.Verdict> verdict = Combinators.combine(TEXT, BOOLEAN, INT, DOUBLE, INT, DOUBLE, TEXT)
			.as(PeerMessage.Verdict::new);
		return Combinators.combine(TEXT, verdict.list().ofMaxSize(3), LONG, BOOLEAN, TEXTS)
			.as(PeerMessage.Verdicts::new);
	}

	private static Arbitrary<PeerMessage> relays() {
		Arbitrary<CallerRequest> request = Combinators.combine(TEXT, TEXT, TEXT, headers(), BODY, TEXT, LONG)
			.as(CallerRequest::new);
		return Combinators.combine(TEXT, request, LONG).as(PeerMessage.Relay::new);
	}

	private static Arbitrary<CallerAnswer> answered() {
		return Combinators.combine(INT, headers(), BODY).as(CallerAnswer.Answered::new);
	}

	private static Arbitrary<CallerAnswer> refused() {
		return Combinators
			.combine(Arbitraries.of(Problem.Code.values()), Arbitraries.of(Problem.Run.values()), TEXT, LONG)
			.as((code, run, detail, retry) -> new CallerAnswer.Refused(new Problem(code, run, detail, retry)));
	}

	private static Arbitrary<Headers> headers() {
		return Combinators.combine(TEXT, TEXT).as(Headers.Field::new).list().ofMaxSize(4).map((fields) -> {
			Headers headers = Headers.empty();
			for (Headers.Field field : fields) {
				headers = headers.with(field.name(), field.value());
			}
			return headers;
		});
	}

	static byte[] flipBits(byte[] bytes, List<Integer> positions, List<Byte> values) {
		byte[] mutated = Arrays.copyOf(bytes, bytes.length);
		for (int i = 0; i < positions.size(); i++) {
			mutated[Math.floorMod(positions.get(i), bytes.length)] ^= values.get(i);
		}
		return mutated;
	}

}
