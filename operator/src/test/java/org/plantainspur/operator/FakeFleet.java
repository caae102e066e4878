package org.plantainspur.operator;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ChangeWriter;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.time.ManualClock;

/**
 * A platform and hosts in memory, with a command line that operates them. The platform
 * can be stopped, and a host can end or keep reporting an old sequence number.
 */
final class FakeFleet implements ChangeLog, HostAdminClient {

	static final String EVIDENCE = "failures against siblings, log-likelihood ratio 31";

	final List<ChangeEntry> entries = new ArrayList<>();

	final ManualClock clock = new ManualClock();

	private final Map<String, Long> heldSequences = new HashMap<>();

	private Runnable beforeAppend = () -> {
	};

	private final Set<String> endedHosts = new TreeSet<>();

	private int nudgeCount;

	private boolean platformStopsAfterAppend;

	private boolean platformStopped;

	private String output = "";

	FakeFleet(int hosts) {
		for (int i = 0; i < hosts; i++) {
			add(new Change.MemberJoined(Member.builder("h" + i, "p" + i).peerAddress("h" + i + ":1").build()));
		}
		add(new Change.SeatsSettled(hosts));
	}

	void add(Change change) {
		this.entries.add(new ChangeEntry(this.entries.size() + 1L, "c" + this.entries.size(), change));
	}

	void holdAtSequence(String host, long sequence) {
		this.heldSequences.put(host, sequence);
	}

	void beforeAppend(Runnable action) {
		this.beforeAppend = action;
	}

	void endProcess(String host) {
		this.endedHosts.add(host);
	}

	int nudgeCount() {
		return this.nudgeCount;
	}

	void stopPlatformAfterAppend() {
		this.platformStopsAfterAppend = true;
	}

	void stopPlatform() {
		this.platformStopped = true;
	}

	int run(String... args) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		ChangeRunner runner = new ChangeRunner(
				new ChangeWriter(this, this::configuration, this.clock::advance, new Random(1)), this, this.clock,
				this.clock::advance, () -> "change-" + this.entries.size());
		int exitCode = new CommandLine(Map.of("PLANTAINSPUR_PLATFORM_URL", "http://127.0.0.1:1"), (url) -> runner,
				new PrintStream(bytes, true, StandardCharsets.UTF_8))
			.run(args);
		this.output = bytes.toString(StandardCharsets.UTF_8);
		return exitCode;
	}

	String output() {
		return this.output;
	}

	Configuration configuration() {
		head();
		Configuration configuration = Configuration.empty();
		for (ChangeEntry entry : this.entries) {
			configuration = configuration.apply(entry);
		}
		return configuration;
	}

	@Override
	public Map<String, JsonNode> query(Collection<Member> members, String path) {
		Map<String, JsonNode> answers = new HashMap<>();
		for (Member member : members.stream()
			.filter((candidate) -> !this.endedHosts.contains(candidate.hostId()))
			.toList()) {
			answers.put(member.hostId(),
					new ObjectMapper().createObjectNode()
						.put("hostId", member.hostId())
						.put("processId", member.processId())
						.put("sequence", this.heldSequences.getOrDefault(member.hostId(), (long) this.entries.size()))
						.put("current", true)
						.put("path", path)
						.put("reason", EVIDENCE));
		}
		return answers;
	}

	@Override
	public void nudge(Collection<Member> members) {
		this.nudgeCount += members.size();
	}

	@Override
	public long head() {
		if (this.platformStopped) {
			throw new UnavailableException("no connection", new IllegalStateException("down"));
		}
		return this.entries.size();
	}

	@Override
	public List<ChangeEntry> read(long after) {
		return this.entries.subList((int) after, (int) head());
	}

	@Override
	public AppendResult append(long expectedHead, String changeId, Change change) {
		Runnable action = this.beforeAppend;
		this.beforeAppend = () -> {
		};
		action.run();
		if (this.platformStopped) {
			return new AppendResult.Unknown("no connection");
		}
		if (expectedHead != this.entries.size()) {
			return new AppendResult.HeadMoved(this.entries.size());
		}
		this.entries.add(new ChangeEntry(expectedHead + 1, changeId, change));
		this.platformStopped = this.platformStopsAfterAppend;
		return new AppendResult.Appended(expectedHead + 1);
	}

	@Override
	public OptionalLong find(String changeId) {
		head();
		return this.entries.stream()
			.filter((entry) -> entry.changeId().equals(changeId))
			.mapToLong(ChangeEntry::sequence)
			.findFirst();
	}

}
