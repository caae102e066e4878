package org.plantainspur.benchmarks.slope;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.plantainspur.adapters.peer.PeerCodec;
import org.plantainspur.adapters.peer.PeerProtocolException;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.ConfigurationPart;
import org.plantainspur.core.configuration.ConfigurationParts;
import org.plantainspur.core.peer.PeerMessage;

/**
 * Prints the encoded size of peer messages and the processor time of encoding and
 * decoding them, by their number of entries.
 */
final class MessageSlopes {

	private static final int ACCOUNTS_PER_TARGET = 4;

	private static final int LATENCY_BUCKETS = 14;

	private final PeerCodec codec = new PeerCodec();

	void print() {
		System.out.printf("%nPeer messages, without the 5 bytes of framing%n");
		System.out.printf("| message | size | bytes | encode and decode, us |%n| --- | --- | ---: | ---: |%n");
		for (int silentHosts : new int[] { 0, 17, 64 }) {
			print("heartbeat", silentHosts + " silent hosts", new PeerMessage.Heartbeat("entry-0001",
					"process-0000000000001eef", 123_456, 250, false, numberedNames("entry-", silentHosts)));
		}
		for (int targets : new int[] { 1, 5, 15, 60 }) {
			print("report", targets + " targets, 4 accounts each", report("entry-0001", targets));
			print("report", targets + " targets without traffic", emptyReport(targets));
			print("verdicts", targets + " targets", verdicts(targets));
		}
		print("borrow", "1", new PeerMessage.Borrow("entry-0001", SyntheticFleet.account(1), 20_000));
		print("lent", "1", new PeerMessage.Lent(20_000));
		print("nudge", "1", new PeerMessage.Nudge(123_456));
		for (int changes : new int[] { 1, 10, 500 }) {
			List<ChangeEntry> entries = new ArrayList<>();
			for (int i = 0; i < changes; i++) {
				entries.add(new ChangeEntry(100 + i, "change-" + i,
						new Change.PutAccount(new ClientAccount(SyntheticFleet.account(i), 100, 100))));
			}
			print("configuration-changes", changes + " changes", new PeerMessage.ConfigurationChanges(entries));
		}
		for (int accounts : new int[] { 1000, 11_000, 44_000 }) {
			List<ConfigurationPart> parts = ConfigurationParts
				.split(new SyntheticFleet(accounts, 4100, 950, 790, 0).configuration().state());
			for (ConfigurationPart part : List.of(parts.get(0), parts.get(parts.size() - 1))) {
				print("configuration-part", "part %d of %d, %d accounts, 4,100 routes, 950 members"
					.formatted(part.number(), part.count(), accounts), new PeerMessage.PartOfConfiguration(part));
			}
		}
	}

	private void print(String name, String size, PeerMessage message) {
		byte[] payload = this.codec.encode(7, message);
		double medianMicros = Measurement.medianMicros(() -> {
			try {
				return this.codec.decode(this.codec.encode(7, message));
			}
			catch (PeerProtocolException ex) {
				throw new IllegalStateException("the codec rejects a message that it has encoded", ex);
			}
		});
		System.out.printf(java.util.Locale.ROOT, "| %s | %s | %d | %.1f |%n", name, size, payload.length, medianMicros);
	}

	private static List<String> numberedNames(String prefix, int count) {
		List<String> names = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			names.add(prefix + "%04d".formatted(i));
		}
		return names;
	}

	static PeerMessage.Report report(String hostId, int targets) {
		List<PeerMessage.TargetEvidence> evidence = new ArrayList<>();
		for (int i = 0; i < targets; i++) {
			List<PeerMessage.AccountEvidence> accounts = new ArrayList<>();
			for (int account = 0; account < ACCOUNTS_PER_TARGET; account++) {
				accounts.add(new PeerMessage.AccountEvidence(SyntheticFleet.account(account), 3, 0, 0, 0, 0, 0));
			}
			List<Integer> latencies = new ArrayList<>(Collections.nCopies(LATENCY_BUCKETS, 0));
			latencies.set(2, 12);
			evidence.add(
					new PeerMessage.TargetEvidence(SyntheticFleet.service(0) + "-" + i, accounts, latencies, 1, false));
		}
		return new PeerMessage.Report(hostId, "process-0000000000001eef", 123_456, SyntheticFleet.service(0), evidence,
				List.of());
	}

	private static PeerMessage.Report emptyReport(int targets) {
		PeerMessage.Report full = report("entry-0001", targets);
		return new PeerMessage.Report(full.hostId(), full.processId(), full.sequence(), full.service(), List.of(),
				List.of());
	}

	private static PeerMessage.Verdicts verdicts(int targets) {
		List<PeerMessage.Verdict> verdicts = new ArrayList<>();
		for (int i = 0; i < targets; i++) {
			verdicts.add(new PeerMessage.Verdict(SyntheticFleet.service(0) + "-" + i, false, 1, 3, 0.25, ""));
		}
		return new PeerMessage.Verdicts(SyntheticFleet.service(0), verdicts, 2500, false, List.of());
	}

}
