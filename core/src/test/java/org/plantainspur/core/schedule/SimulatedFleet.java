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
 * Simulates a few host processes, the links between them and an operator in one thread.
 * After every event it checks that no process serves with a configuration older than an
 * accepted change.
 */
final class SimulatedFleet {

	private static final int ROUND_INTERVAL_MILLIS = 200;

	private final ManualClock clock = new ManualClock();

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));

	private final InMemoryChangeTable table = new InMemoryChangeTable();

	private final Map<String, SimulatedProcess> hosts = new HashMap<>();

	private final Set<String> cutLinks = new HashSet<>();

	private final Set<String> cutFromPlatform = new HashSet<>();

	private final Set<String> pausedHosts = new HashSet<>();

	private final Set<String> slowReaders = new HashSet<>();

	private boolean reliableLinks;

	// The next number of an event or a process. It keeps events of the same millisecond
	// in the order in which they were scheduled.
	private long order;

	private long acceptedSequence;

	private int writes;

	private int changesAccepted;

	SimulatedFleet(int size, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < size; i++) {
			startProcess("h" + i);
		}
	}

	void startProcess(String hostId) {
		SimulatedProcess old = this.hosts.get(hostId);
		if (old != null) {
			old.stop();
		}
		this.pausedHosts.remove(hostId);
		Member member = member(hostId, "p" + this.order++);
		// Each process clock runs up to 1% too slow or too fast.
		SimulatedProcess host = new SimulatedProcess(this, member, 0.99 + 0.02 * this.random.nextDouble());
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

	SimulatedProcess host(int index) {
		return this.hosts.get("h" + (index % this.hosts.size()));
	}

	List<SimulatedProcess> hosts() {
		return new ArrayList<>(this.hosts.values());
	}

	long now() {
		return this.clock.millis();
	}

	int random(int bound) {
		return this.random.nextInt(bound);
	}

	InMemoryChangeTable table() {
		return this.table;
	}

	int changesAccepted() {
		return this.changesAccepted;
	}

	void schedule(long millis, Runnable action) {
		this.events.add(new Event(now() + millis, this.order++, action));
	}

	/**
	 * Runs all events that are due within a time and advances the clock.
	 * @param millis the simulated time to run for, in milliseconds
	 */
	void run(long millis) {
		long end = now() + millis;
		while (!this.events.isEmpty() && this.events.peek().millis() <= end) {
			Event event = this.events.remove();
			this.clock.advance(event.millis() - now());
			event.action().run();
			checkNoneServesStaleConfiguration();
		}
		this.clock.advance(end - now());
		checkNoneServesStaleConfiguration();
	}

	CompletableFuture<PeerMessage> send(SimulatedProcess from, Member to, PeerMessage message, long timeoutMillis) {
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		long deadline = now() + timeoutMillis;
		if (delivers(from.id(), to.hostId())) {
			schedule(delay(), () -> deliver(from, to, message, answer, deadline));
		}
		return answer;
	}

	private void deliver(SimulatedProcess from, Member to, PeerMessage message, CompletableFuture<PeerMessage> answer,
			long deadline) {
		SimulatedProcess receiver = this.hosts.get(to.hostId());
		if (receiver == null) {
			return;
		}
		receiver.run(() -> {
			PeerMessage reply = receiver.handle(message);
			if (delivers(to.hostId(), from.id())) {
				schedule(delay(), () -> from.run(() -> {
					if (now() <= deadline) {
						answer.complete(reply);
					}
				}));
			}
		});
	}

	void useReliableLinks() {
		this.reliableLinks = true;
	}

	// Returns the delay of a message in milliseconds: up to 30, or up to 450 for one
	// message in 10.
	private long delay() {
		if (this.reliableLinks) {
			return 2;
		}
		return (this.random.nextInt(10) == 0) ? this.random.nextInt(450) : 1 + this.random.nextInt(30);
	}

	// Returns whether a message arrives; unless links are reliable, one in 50 is lost.
	private boolean delivers(String from, String to) {
		return !this.cutLinks.contains(from + ">" + to) && (this.reliableLinks || this.random.nextInt(50) != 0);
	}

	/**
	 * Drops all further messages from one host to another, but not those in the other
	 * direction.
	 * @param from the index of the sender
	 * @param to the index of the receiver
	 */
	void cut(int from, int to) {
		this.cutLinks.add(host(from).id() + ">" + host(to).id());
	}

	void isolate(int index) {
		for (int other = 0; other < this.hosts.size(); other++) {
			cut(index, other);
			cut(other, index);
		}
	}

	/**
	 * Partitions the fleet by cutting all links between two groups of hosts.
	 * @param firstGroupSize the number of hosts in the first group, modulo the size of
	 * the fleet
	 */
	void split(int firstGroupSize) {
		int boundary = firstGroupSize % this.hosts.size();
		for (int left = 0; left < boundary; left++) {
			for (int right = boundary; right < this.hosts.size(); right++) {
				cut(left, right);
				cut(right, left);
			}
		}
	}

	void heal() {
		this.cutLinks.clear();
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

	boolean canReachPlatform(String name) {
		return !this.cutFromPlatform.contains(name);
	}

	void slowReads(int index) {
		this.slowReaders.add(host(index).id());
	}

	long readDelay(String hostId) {
		return this.slowReaders.contains(hostId) ? 500 + this.random.nextInt(4000) : this.random.nextInt(60);
	}

	void pause(int index) {
		this.pausedHosts.add(host(index).id());
	}

	/**
	 * Resumes all paused processes and ends slow reads.
	 */
	void resumeAll() {
		this.pausedHosts.clear();
		this.slowReaders.clear();
	}

	boolean isPaused(String hostId) {
		return this.pausedHosts.contains(hostId);
	}

	/**
	 * Writes a change as an operator does and records when it is accepted.
	 */
	void write() {
		ClientAccount account = new ClientAccount("a" + this.writes++, 10, 10);
		ChangeLog log = this.table.access(() -> canReachPlatform("operator"));
		if (log.append(this.table.head(), "w" + this.writes,
				new Change.PutAccount(account)) instanceof ChangeLog.AppendResult.Appended appended) {
			Configuration written = Configuration.empty();
			for (var entry : this.table.entries()) {
				written = written.apply(entry);
			}
			awaitAcceptance(new AcceptanceTracker(this.clock, written.membership(), appended.sequence()),
					appended.sequence(), 100);
		}
	}

	private void awaitAcceptance(AcceptanceTracker tracker, long sequence, int remainingRounds) {
		List<Acknowledgement> acknowledgements = new ArrayList<>();
		for (String hostId : List.copyOf(this.hosts.keySet())) {
			schedule(this.random.nextInt(ROUND_INTERVAL_MILLIS - 1), () -> acknowledge(hostId, acknowledgements));
		}
		schedule(ROUND_INTERVAL_MILLIS, () -> {
			if (tracker.recordRound(acknowledgements).accepted()) {
				this.acceptedSequence = Math.max(this.acceptedSequence, sequence);
				this.changesAccepted++;
			}
			else if (remainingRounds > 0) {
				awaitAcceptance(tracker, sequence, remainingRounds - 1);
			}
		});
	}

	private void acknowledge(String hostId, List<Acknowledgement> acknowledgements) {
		SimulatedProcess host = this.hosts.get(hostId);
		if (!host.isStopped() && !this.pausedHosts.contains(hostId) && this.random.nextInt(20) != 0) {
			acknowledgements.add(host.acknowledgement());
		}
	}

	private void checkNoneServesStaleConfiguration() {
		for (SimulatedProcess host : this.hosts.values()) {
			if (!host.isStopped() && host.isCurrent() && host.sequence() < this.acceptedSequence) {
				throw new AssertionError(host.id() + " serves with configuration " + host.sequence() + " after change "
						+ this.acceptedSequence + " was accepted, at simulated millisecond " + now());
			}
		}
	}

	private record Event(long millis, long order, Runnable action) {
	}

}
