package org.plantainspur.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.plantainspur.core.configuration.AcceptanceTracker;
import org.plantainspur.core.configuration.AcceptanceTracker.Acknowledgement;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

/**
 * A handful of processes, the links between them and an operator, in one thread. Every
 * step checks that no process serves with a configuration older than an accepted change.
 */
final class Fleet {

	private static final int ROUND_MILLIS = 200;

	private final ManualClock clock = new ManualClock();

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));

	private final FakeTable table = new FakeTable();

	private final Map<String, FakeHost> hosts = new HashMap<>();

	private final Set<String> cuts = new HashSet<>();

	private final Set<String> cutFromPlatform = new HashSet<>();

	private final Set<String> frozen = new HashSet<>();

	private final Set<String> slowReaders = new HashSet<>();

	private boolean steadyLinks;

	private long order;

	private long accepted;

	private int writes;

	private int changesAccepted;

	Fleet(int size, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < size; i++) {
			startProcess("h" + i);
		}
	}

	void startProcess(String hostId) {
		FakeHost old = this.hosts.get(hostId);
		if (old != null) {
			old.stop();
		}
		this.frozen.remove(hostId);
		Member member = member(hostId, "p" + this.order++);
		FakeHost host = new FakeHost(this, member, 0.99 + 0.02 * this.random.nextDouble());
		this.hosts.put(hostId, host);
		host.start();
	}

	List<Member> seeds() {
		return List.of(member("h0", ""), member("h1", ""), member("h2", ""));
	}

	private static Member member(String hostId, String processId) {
		String region = (hostId.charAt(1) % 2 == 0) ? "north" : "south";
		return Member.builder(hostId, processId).region(region).peerAddress(hostId + ":1").build();
	}

	FakeHost host(int index) {
		return this.hosts.get("h" + (index % this.hosts.size()));
	}

	List<FakeHost> hosts() {
		return new ArrayList<>(this.hosts.values());
	}

	long now() {
		return this.clock.millis();
	}

	int random(int bound) {
		return this.random.nextInt(bound);
	}

	FakeTable table() {
		return this.table;
	}

	int changesAccepted() {
		return this.changesAccepted;
	}

	void later(long millis, Runnable action) {
		this.events.add(new Event(now() + millis, this.order++, action));
	}

	/**
	 * Runs everything due in the next milliseconds.
	 * @param millis the time to run for
	 */
	void run(long millis) {
		long end = now() + millis;
		while (!this.events.isEmpty() && this.events.peek().millis() <= end) {
			Event event = this.events.remove();
			this.clock.advance(event.millis() - now());
			event.action().run();
			checkNoneServesOlder();
		}
		this.clock.advance(end - now());
		checkNoneServesOlder();
	}

	CompletableFuture<PeerMessage> send(FakeHost from, Member to, PeerMessage message, long timeoutMillis) {
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		long deadline = now() + timeoutMillis;
		if (carries(from.id(), to.hostId())) {
			later(delay(), () -> deliver(from, to, message, answer, deadline));
		}
		return answer;
	}

	private void deliver(FakeHost from, Member to, PeerMessage message, CompletableFuture<PeerMessage> answer,
			long deadline) {
		FakeHost receiver = this.hosts.get(to.hostId());
		if (receiver == null) {
			return;
		}
		receiver.run(() -> {
			PeerMessage reply = receiver.handle(message);
			if (carries(to.hostId(), from.id())) {
				later(delay(), () -> from.run(() -> {
					if (now() <= deadline) {
						answer.complete(reply);
					}
				}));
			}
		});
	}

	void steadyLinks() {
		this.steadyLinks = true;
	}

	private long delay() {
		if (this.steadyLinks) {
			return 2;
		}
		return (this.random.nextInt(10) == 0) ? this.random.nextInt(450) : 1 + this.random.nextInt(30);
	}

	private boolean carries(String from, String to) {
		return !this.cuts.contains(from + ">" + to) && (this.steadyLinks || this.random.nextInt(50) != 0);
	}

	void cut(int from, int to) {
		this.cuts.add(host(from).id() + ">" + host(to).id());
	}

	void isolate(int index) {
		for (int other = 0; other < this.hosts.size(); other++) {
			cut(index, other);
			cut(other, index);
		}
	}

	void split(int firstOfOthers) {
		int boundary = firstOfOthers % this.hosts.size();
		for (int left = 0; left < boundary; left++) {
			for (int right = boundary; right < this.hosts.size(); right++) {
				cut(left, right);
				cut(right, left);
			}
		}
	}

	void heal() {
		this.cuts.clear();
	}

	void cutPlatform(int index) {
		this.cutFromPlatform.add(host(index).id());
	}

	void cutPlatformFromAll() {
		this.cutFromPlatform.addAll(this.hosts.keySet());
		this.cutFromPlatform.add("operator");
	}

	void healPlatform() {
		this.cutFromPlatform.clear();
	}

	boolean reachesPlatform(String name) {
		return !this.cutFromPlatform.contains(name);
	}

	void slowReads(int index) {
		this.slowReaders.add(host(index).id());
	}

	long readDelay(String hostId) {
		return this.slowReaders.contains(hostId) ? 500 + this.random.nextInt(4000) : this.random.nextInt(60);
	}

	void freeze(int index) {
		this.frozen.add(host(index).id());
	}

	void thaw() {
		this.frozen.clear();
		this.slowReaders.clear();
	}

	boolean frozen(String hostId) {
		return this.frozen.contains(hostId);
	}

	/**
	 * Writes a change as an operator and follows it until it is accepted.
	 */
	void write() {
		ClientAccount account = new ClientAccount("a" + this.writes++, 10, 10);
		ChangeLog log = this.table.access(() -> reachesPlatform("operator"));
		if (log.append(this.table.head(), "w" + this.writes,
				new Change.PutAccount(account)) instanceof ChangeLog.AppendResult.Appended appended) {
			Configuration written = Configuration.empty();
			for (var entry : this.table.entries()) {
				written = written.apply(entry);
			}
			follow(new AcceptanceTracker(this.clock, written.membership(), appended.sequence()), appended.sequence(),
					100);
		}
	}

	private void follow(AcceptanceTracker tracker, long sequence, int rounds) {
		List<Acknowledgement> answers = new ArrayList<>();
		for (String hostId : List.copyOf(this.hosts.keySet())) {
			later(this.random.nextInt(ROUND_MILLIS - 1), () -> acknowledge(hostId, answers));
		}
		later(ROUND_MILLIS, () -> {
			if (tracker.round(answers).accepted()) {
				this.accepted = Math.max(this.accepted, sequence);
				this.changesAccepted++;
			}
			else if (rounds > 0) {
				follow(tracker, sequence, rounds - 1);
			}
		});
	}

	private void acknowledge(String hostId, List<Acknowledgement> answers) {
		FakeHost host = this.hosts.get(hostId);
		if (!host.stopped() && !this.frozen.contains(hostId) && this.random.nextInt(20) != 0) {
			answers.add(host.acknowledgement());
		}
	}

	private void checkNoneServesOlder() {
		for (FakeHost host : this.hosts.values()) {
			if (!host.stopped() && host.current() && host.sequence() < this.accepted) {
				throw new AssertionError(host.id() + " serves with " + host.sequence() + " after " + this.accepted
						+ " was accepted, at " + now());
			}
		}
	}

	private record Event(long millis, long order, Runnable action) {
	}

}
